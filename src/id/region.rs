//! Name of a region.

super::text_id!(Region, "region");
