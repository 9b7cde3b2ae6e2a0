//! Name of a router.

super::text_id!(Router, "router");
