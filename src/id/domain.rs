//! Name of a failure domain.

super::text_id!(Domain, "failure domain");
