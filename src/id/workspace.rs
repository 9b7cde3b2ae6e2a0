//! Name of a workspace.

super::text_id!(Workspace, "workspace");
