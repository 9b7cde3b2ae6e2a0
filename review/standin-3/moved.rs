//! Open connections to the store go silent while new ones work, and the operator moves a route to another service.

use crate::{Case, world::*};
use std::{
    io::Write,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const ROUTERS: usize = 7;
const ROUNDS: u64 = 13;
const SERVICES: [&str; 2] = ["app-a", "app-b"];
/// Time from the readiness of all routers to the silence: they have been in touch for a second.
const READY: Duration = Duration::from_millis(4_000);
/// Time by which that grows with each round.
const STEP: Duration = Duration::from_millis(10);
/// Time from the silence to the acknowledgement of the new version.
const CHANGE_AFTER: Duration = Duration::from_millis(900);
/// `stability-window-ms` and `config-ms`.
const WINDOW: Duration = Duration::from_millis(3_000);
const CONFIG: Duration = Duration::from_millis(2_000);
const ROUND: Duration = Duration::from_millis(4_000);
const BETWEEN_REQUESTS: Duration = Duration::from_millis(30);

/// What ran a request: its id and the service.
type Runs = Arc<Mutex<Vec<(String, &'static str)>>>;

pub fn play(case: &Case) -> bool {
    let record = &case.record;
    let store = Store::open();
    let runs = Runs::default();
    for service in SERVICES {
        let (name, served) = (format!("i-{service}"), runs.clone());
        let own = name.clone();
        let address = serve("127.0.0.1:0", move |mut stream| {
            while let Some(request) = read_message(&mut stream) {
                let id = request.header("x-marlrun-request-id").to_owned();
                if request.header("x-marlrun-expect-instance") != own {
                    let _ = stream.write_all(not_run(421, &id, "").as_bytes());
                    continue;
                }
                served.lock().unwrap().push((id.clone(), service));
                if stream.write_all(success(&id, "").as_bytes()).is_err() {
                    return;
                }
            }
        });
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"za","version":"1","slots":6,"state":"ready","cold-left-ms":0,"seq":1,"born":{}}}"#,
            unix_ms()
        );
        store.put("servers", &name, &entry);
    }
    let mut version = 1;
    store.put("op", "config", &configuration(version, SERVICES[1]));
    let links: Vec<Proxy> = (0..ROUTERS).map(|_| Proxy::open(store.address)).collect();
    let mut machines = Machine::start_all(&case.folder, ROUTERS, |index| links[index].address);
    let mut late = 0;
    for round in 0..ROUNDS {
        if round > 0 {
            machines.iter_mut().for_each(Machine::kill);
            machines.iter_mut().for_each(Machine::start);
            wait_for("all routers are ready", Duration::from_secs(10), || {
                machines.iter().all(Machine::is_ready)
            });
        }
        thread::sleep(READY + STEP * round as u32);
        let silent = Instant::now();
        if case.trouble {
            links.iter().for_each(Proxy::silence);
            record.line("open connections to the store go silent");
        }
        thread::sleep(CHANGE_AFTER);
        version += 3;
        let (new, old) = (
            SERVICES[round as usize % 2],
            SERVICES[(round as usize + 1) % 2],
        );
        store.put("op", "config", &configuration(version, new));
        let acknowledged = Instant::now();
        record.line(&format!(
            "version {version} is acknowledged: the route moves from {old} to {new}"
        ));
        let mut late_here = 0;
        while silent.elapsed() < ROUND {
            for machine in &machines {
                let id = new_id();
                let request = format!(
                    "GET /look/1 HTTP/1.1\r\nHost: app.example\r\nX-Marlrun-Request-Id: {id}\r\n\
                     X-Marlrun-Deadline-Ms: 1500\r\nAuthorization: Bearer key-east\r\nConnection: close\r\n\r\n"
                );
                let sent = Instant::now();
                let answer = exchange(
                    machine.front,
                    request.as_bytes(),
                    Duration::from_millis(1_500),
                );
                let status = answer.map_or(0, |answer| answer.status());
                let runs = runs.lock().unwrap();
                let run = runs
                    .iter()
                    .rev()
                    .find(|(run, _)| *run == id)
                    .map(|(_, service)| *service);
                let is_due = sent > silent + WINDOW && sent > acknowledged + CONFIG;
                let is_late = is_due && run == Some(old);
                late_here += usize::from(is_late);
                let remark = if is_late { ", which is too late" } else { "" };
                record.line(&format!(
                    "{id} sent to {} {} ms after the acknowledgement: {status}, run by {}{remark}",
                    machine.name,
                    (sent - acknowledged).as_millis(),
                    run.unwrap_or("none")
                ));
            }
            thread::sleep(BETWEEN_REQUESTS);
        }
        println!(
            "round {round}: {late_here} requests run by the old service, sent by machines in touch later than {CONFIG:?}"
        );
        late += late_here;
    }
    record.line(&format!(
        "{late} requests were run by the old service too late"
    ));
    machines.clear();
    late > 0
}

fn configuration(version: u64, service: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"look","host":"app.example","prefix":"/look/","kind":"safe",
"timeout-ms":1500,"slo-ms":150,"priority":1,"service":"{service}","attempts":2,"no-auth":false,"sticky":false,
"resumable":false}}],"services":[{{"name":"app-a","max-conns":100}},{{"name":"app-b","max-conns":100}}],
"limits":{{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout-ms":3000,"idle-timeout-ms":15000}},
"tenants":[{{"name":"east","api-keys":["key-east"]}}]}}"#
    )
}
