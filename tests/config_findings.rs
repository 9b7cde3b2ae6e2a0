//! Errors found in configuration files, with their positions.

use marlrun::{
    config::{self, Difference, Findings, Source},
    id,
    unit::{Cost, Span, Version},
};
use std::path::Path;

const BASE: &str = r#"
[limits]
capacity = 10

[sites.north]
domains = ["a", "b"]

[sites.south]
domains = ["c"]

[workspaces.hotel]
weight = 3
key_sha256 = ["2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"]

[workspaces.desk]

[services.chat]
kind = "model"
timeout = "2m"
quick = 100

[targets.chat-1]
service = "chat"
domain = "a"
address = "127.0.0.1:8001"
slots = 4

[targets.chat-2]
service = "chat"
domain = "c"
address = "127.0.0.1:8002"
slots = 4
"#;

fn source(name: &str, text: &str) -> Source {
    Source {
        name: name.into(),
        text: text.into(),
    }
}

/// Returns the findings as lines of text.
fn findings_of(base: &str, overlays: &[&str]) -> Vec<String> {
    let overlays: Vec<_> = overlays.iter().map(|o| source("site.toml", o)).collect();
    let Findings(findings) = config::check(&source("base.toml", base), &overlays)
        .expect_err("the configuration must have findings");
    findings.iter().map(ToString::to_string).collect()
}

fn edited(from: &str, to: &str) -> String {
    assert!(BASE.contains(from), "{from:?} is not in the base file");
    BASE.replacen(from, to, 1)
}

#[test]
fn load_applies_base() {
    let fleet = config::load(&source("base.toml", BASE), None).unwrap();
    assert_eq!(fleet.version, Version(1));
    assert_eq!(fleet.workspaces["hotel"].weight.get(), 3);
    assert_eq!(fleet.workspaces["desk"].weight.get(), 1);
    assert_eq!(fleet.services["chat"].timeout, Span::from_secs(120));
    assert_eq!(fleet.services["chat"].quick, Cost(100));
    assert_eq!(fleet.targets["chat-2"].slots, 4);
    let hotel = fleet.workspace_of(b"foo").map(id::Workspace::as_str);
    assert_eq!(hotel, Some("hotel"));
    assert_eq!(fleet.workspace_of(b"bar"), None);
    let site = fleet.site_of(&"b".parse().unwrap());
    assert_eq!(site.map(id::Site::as_str), Some("north"));
}

#[test]
fn load_applies_overlay() {
    let overlay = "site = \"north\"\n[services.chat]\nquick = 50\n[targets.chat-1]\nslots = 2\n\
        [targets.chat-3]\nservice = \"chat\"\ndomain = \"b\"\naddress = \"127.0.0.1:8003\"\n\
        slots = 1\n";
    let overlay = source("site.toml", overlay);
    let fleet = config::load(&source("base.toml", BASE), Some(&overlay)).unwrap();
    assert_eq!(fleet.services["chat"].quick, Cost(50));
    assert_eq!(fleet.services["chat"].timeout, Span::from_secs(120));
    assert_eq!(fleet.targets["chat-1"].slots, 2);
    assert_eq!(fleet.targets["chat-3"].domain.as_str(), "b");
}

#[test]
fn overlay_limits_stay_in_site() {
    let overlay = "site = \"north\"\n[services.chat]\nquick = 50\n[targets.chat-1]\nslots = 2\n";
    let document = config::check(&source("b", BASE), &[source("o", overlay)]).unwrap();
    let south = document.fleet(Version(7), Some(&"south".parse().unwrap()));
    assert_eq!(south.services["chat"].quick, Cost(100));
    assert_eq!(south.targets["chat-1"].slots, 2);
}

#[test]
fn findings_of_all_files_together() {
    let base = edited("quick = 100", "quik = 100").replace("\"model\"", "\"modell\"");
    let overlay = "site = \"nort\"\n[services.chat]\nquick = 1\n";
    assert_eq!(
        findings_of(&base, &[overlay]),
        [
            "base.toml:18:8: services.chat.kind: \"modell\" is not \"model\" or \"plain\"",
            "base.toml:20:1: unknown key services.chat.quik; did you mean quick?",
            "site.toml:1:8: unknown site nort; did you mean north?",
        ]
    );
}

#[test]
fn syntax_error() {
    let found = findings_of("[sites.a\ndomains = [\"x\"]\n", &[]);
    assert!(found[0].starts_with("base.toml:1:"), "{found:?}");
}

#[test]
fn unknown_key_far_from_all() {
    let base = edited("[workspaces.desk]", "[workspaces.desk]\nzzzzzz = 1");
    assert_eq!(
        findings_of(&base, &[]),
        ["base.toml:16:1: unknown key workspaces.desk.zzzzzz"]
    );
}

#[test]
fn unknown_key_at_top() {
    let base = edited("[workspaces.desk]", "[workspace.desk]");
    assert_eq!(
        findings_of(&base, &[]),
        ["base.toml:15:2: unknown key workspace; did you mean workspaces?"]
    );
}

#[test]
fn wrong_type() {
    let base = edited("slots = 4", "slots = \"4\"");
    assert_eq!(
        findings_of(&base, &[]),
        [
            "base.toml:26:9: targets.chat-1.slots must be a whole number from 1 to 65536, \
          not a TOML string"
        ]
    );
}

#[test]
fn wrong_unit() {
    for (value, message) in [
        (
            "120",
            "services.chat.timeout must be a string, not a TOML integer",
        ),
        (
            "\"2h\"",
            "services.chat.timeout: \"2h\" is not a length of time such as 250ms, 3s or 2m",
        ),
    ] {
        let base = edited("timeout = \"2m\"", &format!("timeout = {value}"));
        let expected = format!("base.toml:19:11: {message}");
        assert_eq!(findings_of(&base, &[]), [expected]);
    }
}

#[test]
fn missing_key() {
    let base = edited("address = \"127.0.0.1:8001\"\n", "");
    assert_eq!(
        findings_of(&base, &[]),
        ["base.toml:22:10: targets.chat-1.address is missing"]
    );
}

#[test]
fn unknown_reference() {
    let base = edited("service = \"chat\"", "service = \"chatt\"");
    let base = base.replace("domain = \"c\"", "domain = \"d\"");
    assert_eq!(
        findings_of(&base, &[]),
        [
            "base.toml:23:11: unknown service chatt; did you mean chat?",
            "base.toml:30:10: unknown failure domain d",
        ]
    );
}

#[test]
fn duplicate_values() {
    let key = "key_sha256 = [\"2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae\"]";
    let base = edited("[workspaces.desk]", &format!("[workspaces.desk]\n{key}"))
        .replace("8002", "8001")
        .replace("domains = [\"c\"]", "domains = [\"c\", \"a\"]");
    assert_eq!(
        findings_of(&base, &[]),
        [
            "base.toml:9:17: failure domain a already belongs to site north",
            "base.toml:13:15: the key already belongs to workspace desk",
            "base.toml:32:11: address 127.0.0.1:8001 already belongs to target chat-1",
        ]
    );
}

#[test]
fn duplicate_table() {
    let base = edited("[workspaces.desk]", "[workspaces.hotel]");
    assert_eq!(findings_of(&base, &[]), ["base.toml:15:13: duplicate key"]);
}

#[test]
fn weights_over_capacity() {
    let base = edited("weight = 3", "weight = 30");
    assert_eq!(
        findings_of(&base, &[]),
        ["base.toml:3:12: the workspaces' weights add up to 31, over the capacity of 10"]
    );
}

#[test]
fn key_digest_is_not_repeated_in_finding() {
    let base = edited("2c26b46b", "secret-key");
    assert_eq!(
        findings_of(&base, &[]),
        [
            "base.toml:13:15: workspaces.hotel.key_sha256: a SHA-256 digest must have 64 hexadecimal digits"
        ]
    );
}

#[test]
fn overlay_changes_nothing() {
    let overlay = "site = \"north\"\n[services.chat]\nquick = 100\n[targets.chat-1]\nslots = 4\n";
    assert_eq!(
        findings_of(BASE, &[overlay]),
        [
            "site.toml:3:9: services.chat.quick changes nothing: the base file has the same value",
            "site.toml:5:9: targets.chat-1.slots changes nothing: the base file has the same value",
        ]
    );
    assert_eq!(
        findings_of(BASE, &["site = \"north\"\n"]),
        ["site.toml:1:8: the overlay changes nothing"]
    );
}

#[test]
fn overlay_section_is_empty() {
    let overlay = "site = \"north\"\n[services.chat]\n[targets.chat-1]\n";
    assert_eq!(
        findings_of(BASE, &[overlay]),
        [
            "site.toml:2:11: services.chat changes nothing",
            "site.toml:3:10: targets.chat-1 changes nothing",
        ]
    );
}

#[test]
fn overlay_address_is_taken() {
    let north = "site = \"north\"\n[targets.chat-1]\naddress = \"127.0.0.1:8002\"\n";
    assert_eq!(
        findings_of(BASE, &[north]),
        ["site.toml:3:11: address 127.0.0.1:8002 already belongs to target chat-2"]
    );
    let south = "site = \"south\"\n[targets.chat-2]\naddress = \"127.0.0.1:8003\"\n";
    let overlays = [north, south].map(|overlay| source("site.toml", overlay));
    let document = config::check(&source("base.toml", BASE), &overlays).unwrap();
    let fleet = document.fleet(Version(1), None);
    assert_eq!(fleet.targets["chat-1"].address.port(), 8002);
}

#[test]
fn overlay_twice_for_site() {
    let overlay = "site = \"north\"\n[services.chat]\nquick = 50\n";
    assert_eq!(
        findings_of(BASE, &[overlay, overlay]),
        ["site.toml:1:1: site north already has an overlay"]
    );
}

#[test]
fn rendered_document_reads_back() {
    let overlay = "site = \"north\"\n[services.chat]\nquick = 50\n[targets.chat-1]\nslots = 2\n";
    let document = config::check(&source("b", BASE), &[source("o", overlay)]).unwrap();
    let north: id::Site = "north".parse().unwrap();
    let base = document.base_table().unwrap().to_string();
    let overlay = document.overlay_table(&north).unwrap().unwrap().to_string();
    let again = config::check(&source("b", &base), &[source("o", &overlay)]).unwrap();
    assert_eq!(again, document);
    assert_eq!(again.digest(), document.digest());
}

#[test]
fn difference_names_keys() {
    let overlay = "site = \"north\"\n[services.chat]\nquick = 50\n";
    let old = config::check(&source("b", BASE), &[]).unwrap();
    let edited =
        edited("weight = 3", "weight = 4").replace("[workspaces.desk]", "[workspaces.door]");
    let new = config::check(&source("b", &edited), &[source("o", overlay)]).unwrap();
    let differences = Difference::between(&old, &new).unwrap();
    let lines: Vec<_> = differences.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "workspaces.desk.key_sha256: removed []",
            "workspaces.desk.weight: removed 1",
            "workspaces.door.key_sha256: added []",
            "workspaces.door.weight: added 1",
            "workspaces.hotel.weight: 3 -> 4",
            "overlay north: services.chat.quick: added 50",
            "overlay north: site: added \"north\"",
        ]
    );
}

#[test]
fn overlay_key_of_base_only() {
    let overlay = "site = \"north\"\n[services.chat]\nidempotent = true\nquick = 1\n\
        [workspaces.desk]\nweight = 2\n";
    assert_eq!(
        findings_of(BASE, &[overlay]),
        [
            "site.toml:3:1: services.chat.idempotent may not differ per site; \
             set it in the base file",
            "site.toml:5:2: workspaces may not differ per site; set it in the base file",
        ]
    );
}

#[test]
fn overlay_target_of_other_site() {
    let overlay =
        "site = \"north\"\n[targets.chat-2]\nslots = 1\n[targets.chat-1]\ndomain = \"c\"\n";
    assert_eq!(
        findings_of(BASE, &[overlay]),
        [
            "site.toml:2:10: target chat-2 is in failure domain c, \
             which does not belong to this site",
            "site.toml:5:10: failure domain c does not belong to this site",
        ]
    );
}

#[test]
fn column_counts_characters() {
    let base = edited("weight = 3", "\"ქალა\" = 1");
    assert_eq!(
        findings_of(&base, &[])[0],
        "base.toml:12:1: unknown key workspaces.hotel.ქალა"
    );
    let found = findings_of("workspaces = { \"ო\" = 1, x = 2 }\n", &[]);
    let expected = "base.toml:1:29: workspaces.x must be a table, not a TOML integer";
    assert!(found.iter().any(|f| f == expected), "{found:?}");
}

#[test]
fn examples_are_correct() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    for (name, overlays, targets) in [
        ("mtatsminda", ["vake", "isani"], 16),
        ("granite-relay", ["hall-concord", "hall-portland"], 16),
    ] {
        let path = |file: &str| examples.join(name).join(format!("{file}.toml"));
        let base = Source::open(&path("base")).unwrap();
        let overlays = overlays.map(|overlay| Source::open(&path(overlay)).unwrap());
        let document = config::check(&base, &overlays).unwrap();
        let fleet = document.fleet(Version(1), None);
        assert_eq!(fleet.workspaces.len(), 16);
        assert_eq!(fleet.targets.len(), targets);
    }
}
