//! Metrics of the process and the page that shows them.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;

/// Requests that arrived, by service.
pub const REQUESTS: &str = "marlrun_requests_total";
/// Requests that ended, by service and result.
pub const RESULTS: &str = "marlrun_results_total";
/// Time from arrival to the grant, in seconds, by service and class.
pub const WAIT: &str = "marlrun_wait_seconds";
/// Time from arrival to the first byte of the answer, in seconds, by service.
pub const FIRST_BYTE: &str = "marlrun_first_byte_seconds";
/// Answers dropped because they belong to another attempt.
pub const CROSSED: &str = "marlrun_crossed_answers_total";
/// Requests that hold a slot, on the router that took them.
pub const RUNNING: &str = "marlrun_running";
/// Requests that wait for a slot, on the router that took them.
pub const WAITING: &str = "marlrun_waiting";
/// Live routers known, this one included.
pub const MEMBERS: &str = "marlrun_members";
/// Version of the configuration in force.
pub const VERSION: &str = "marlrun_config_version";
/// Time that the control thread spent on work, in seconds.
pub const CONTROL_BUSY: &str = "marlrun_control_busy_seconds_total";
/// Bytes sent to other routers, by way (`heartbeat` or `link`), with the headers of IP, UDP and calls.
pub const CONTROL_BYTES: &str = "marlrun_control_sent_bytes_total";
/// Datagrams and calls sent to other routers, by way.
pub const CONTROL_SENDS: &str = "marlrun_control_sends_total";

/// Calls to the platform's store, by call and result.
pub const STORE_CALLS: &str = "marlrun_store_calls_total";

/// Runs at targets that gave no answer for the caller, by end.
pub const RUN_FAILURES: &str = "marlrun_run_failures_total";
/// Requests sent to targets, by whether their connection was reused.
pub const CONNECTIONS: &str = "marlrun_connections_total";

/// Requests refused because the router's processor was busy.
pub const BUSY: &str = "marlrun_busy_total";
/// Connections refused before their request was read, by whether the answer could be given.
pub const REFUSED_UNREAD: &str = "marlrun_refused_unread_total";
/// Requests that the router may carry at once, while its processor limits them.
pub const CARRY_LIMIT: &str = "marlrun_carry_limit";

static PAGE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Starts to collect metrics; later calls change nothing.
pub fn install() {
    PAGE.get_or_init(|| PrometheusBuilder::new().install_recorder().ok());
}

/// Returns the metrics as text in the exposition format; empty before `install`.
pub fn page() -> String {
    let handle = PAGE.get().and_then(Option::as_ref);
    handle.map(PrometheusHandle::render).unwrap_or_default()
}
