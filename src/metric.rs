//! Names of the metrics, and their export in the Prometheus text format.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;

/// Requests received, by service.
pub const REQUESTS: &str = "marlrun_requests_total";
/// Requests completed, by service and result.
pub const RESULTS: &str = "marlrun_results_total";
/// Time from arrival to the grant of a slot, in seconds, by service and class.
pub const WAIT: &str = "marlrun_wait_seconds";
/// Time from arrival to the first byte of the response, in seconds, by service.
pub const FIRST_BYTE: &str = "marlrun_first_byte_seconds";
/// Responses dropped because they belong to another request or attempt.
pub const CROSSED: &str = "marlrun_crossed_answers_total";
/// Requests that hold a slot, counted at the router that received them.
pub const RUNNING: &str = "marlrun_running";
/// Requests that wait for a slot, counted at the router that received them.
pub const WAITING: &str = "marlrun_waiting";
/// Known live routers, including this one.
pub const MEMBERS: &str = "marlrun_members";
/// Version of the configuration in force.
pub const VERSION: &str = "marlrun_config_version";
/// Busy time of the control thread, in seconds.
pub const CONTROL_BUSY: &str = "marlrun_control_busy_seconds_total";
/// Bytes sent to other routers, by way (such as `heartbeat`, `link` or `summary`), including
/// protocol headers.
pub const CONTROL_BYTES: &str = "marlrun_control_sent_bytes_total";
/// Datagrams and calls sent to other routers, by way.
pub const CONTROL_SENDS: &str = "marlrun_control_sends_total";

/// Calls to the platform's store, by call and result.
pub const STORE_CALLS: &str = "marlrun_store_calls_total";

/// Restores of the platform's store from a copy, by the list that showed them.
pub const STORE_RESTORES: &str = "marlrun_store_restores_total";

/// Failed attempts at targets, by how they ended.
pub const RUN_FAILURES: &str = "marlrun_run_failures_total";
/// Runs of targets that announced in a response that they leave.
pub const LEAVING: &str = "marlrun_targets_leaving_total";
/// Pauses that targets asked for.
pub const PAUSES: &str = "marlrun_target_pauses_total";
/// Changes of the limits that targets name.
pub const LIMITS: &str = "marlrun_target_limits_total";
/// Targets that this router treats as cold.
pub const COLD_TARGETS: &str = "marlrun_cold_targets";
/// Health probes sent to targets that may be cold.
pub const PROBES: &str = "marlrun_target_probes_total";
/// Crashes of targets that this router saw.
pub const CRASHES: &str = "marlrun_target_crashes_total";
/// Parts of prompts that are held back because targets crashed under them.
pub const HELD_PARTS: &str = "marlrun_held_parts";
/// Requests that named an engine to copy cached parts of their prompts from.
pub const COPY_SOURCES: &str = "marlrun_copy_sources_total";
/// Prompt tokens that engines were expected to copy from others instead of processing them.
pub const COPIED_TOKENS: &str = "marlrun_expected_copied_tokens_total";
/// Prompt tokens that engines were expected to process.
pub const UNCACHED_TOKENS: &str = "marlrun_expected_uncached_tokens_total";
/// Requests sent to a target in another failure domain, by reason.
pub const LEFT_DOMAIN: &str = "marlrun_left_domain_total";
/// Estimated bytes of these requests and their responses, by reason.
pub const LEFT_DOMAIN_BYTES: &str = "marlrun_left_domain_bytes_total";
/// Requests sent to targets, by whether the connection was reused.
pub const CONNECTIONS: &str = "marlrun_connections_total";

/// Requests refused because of CPU overload.
pub const BUSY: &str = "marlrun_busy_total";
/// Connections refused before their request was read, by whether the refusal could be sent.
pub const REFUSED_UNREAD: &str = "marlrun_refused_unread_total";
/// Callers' connections that the router ended, by reason.
pub const CALLERS_CLOSED: &str = "marlrun_callers_closed_total";
/// Bytes held for callers.
pub const HELD_BYTES: &str = "marlrun_held_bytes";
/// Requests and connections refused because there was no memory for them.
pub const REFUSED_MEMORY: &str = "marlrun_refused_memory_total";
/// Callers' connections chosen to be closed for lack of progress while memory is short.
pub const SHED: &str = "marlrun_callers_shed_total";
/// Limit of concurrent requests while CPU overload restricts them.
pub const CARRY_LIMIT: &str = "marlrun_carry_limit";
/// Tokens per second that shares are computed from.
pub const CAPACITY: &str = "marlrun_capacity_tokens_per_second";

/// Failure domains that are evacuated.
pub const EVACUATED: &str = "marlrun_evacuated_domains";
/// Requests refused because the targets are in evacuated failure domains or outside the allowed regions, by
/// reason.
pub const REFUSED_BARRED: &str = "marlrun_refused_barred_total";

static PAGE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the metrics recorder; later calls have no effect.
pub fn install() {
    PAGE.get_or_init(|| PrometheusBuilder::new().install_recorder().ok());
}

/// Returns the metrics in the Prometheus text format; empty before `install`.
pub fn page() -> String {
    let handle = PAGE.get().and_then(Option::as_ref);
    handle.map(PrometheusHandle::render).unwrap_or_default()
}
