//! Name of a service.

super::text_id!(Service, "service");
