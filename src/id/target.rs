//! Name of a target.

super::text_id!(Target, "target");
