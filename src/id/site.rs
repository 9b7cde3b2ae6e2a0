//! Name of a site.

super::text_id!(Site, "site");
