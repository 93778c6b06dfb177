//! Look-up of routes by longest prefix, and of callers by key.

use pitchhitch_core::{
    serving::{
        Organisation, PathIndex, RefusalKind, RequestInfo, RetryPolicy, RouteTarget, ServedRoute,
        ServingConfig,
    },
    time::Micros,
};

fn route(
    name: &str,
    host: &str,
    prefix: &str,
) -> ServedRoute {
    ServedRoute {
        name: name.to_string(),
        host: host.to_string(),
        prefix: prefix.to_string(),
        is_stream: false,
        retry: RetryPolicy::NonIdempotent,
        time_limit: Micros::from_secs(1),
        target_latency: Micros::from_millis(100),
        target_gap: None,
        priority: 2,
        max_endpoints: 1,
        is_public: name == "public",
        allowed_regions: Vec::new(),
        targets: vec![
            RouteTarget {
                service: "first".to_string(),
                weight: 9,
            },
            RouteTarget {
                service: "second".to_string(),
                weight: 1,
            },
        ],
    }
}

fn config() -> ServingConfig {
    let routes = vec![
        route("short", "a.example", "/api/"),
        route("long", "a.example", "/api/deep/"),
        route("other", "b.example", "/api/"),
        route("public", "b.example", "/open/"),
    ];
    ServingConfig {
        version: 1,
        paths: PathIndex::new(&routes),
        routes,
        organisations: vec![Organisation {
            name: "farm".to_string(),
            priority: None,
            is_isolated: false,
            allowed_regions: Vec::new(),
        }],
        keys: [("key".to_string(), 0)].into(),
        ..ServingConfig::default()
    }
}

fn request(
    host: &str,
    path: &str,
    key: Option<&str>,
) -> RequestInfo {
    RequestInfo {
        host: host.to_string(),
        path: path.to_string(),
        key: key.map(str::to_string),
        ..RequestInfo::default()
    }
}

#[test]
fn longest_prefix_wins() {
    let config = config();
    let name = |host, path| {
        config
            .paths
            .find(host, path)
            .map(|index| &config.routes[index].name[..])
    };
    assert_eq!(name("a.example", "/api/x"), Some("short"));
    assert_eq!(name("a.example", "/api/deep/x"), Some("long"));
    assert_eq!(name("a.example", "/api/deep"), Some("short"));
    assert_eq!(name("A.Example", "/api/deep/"), Some("long"));
    assert_eq!(name("b.example", "/api/deep/x"), Some("other"));
    assert_eq!(name("a.example", "/apix"), None);
    assert_eq!(name("c.example", "/api/x"), None);
    assert_eq!(name("a.example", ""), None);
}

#[test]
fn keys_required() {
    let config = config();
    let resolve = |host, path, key| config.resolve(&request(host, path, key));
    assert_eq!(
        resolve("a.example", "/api/", None),
        Err(RefusalKind::UnknownKey)
    );
    assert_eq!(
        resolve("a.example", "/api/", Some("no")),
        Err(RefusalKind::UnknownKey)
    );
    assert_eq!(
        resolve("a.example", "/no", Some("key")),
        Err(RefusalKind::UnknownRoute)
    );
    let keyed = resolve("a.example", "/api/", Some("key")).expect("accepted");
    assert!(keyed.is_authenticated && keyed.organisation == Some(0));
    let open = resolve("b.example", "/open/x", None).expect("accepted");
    assert!(!open.is_authenticated && open.organisation.is_none());
}

#[test]
fn weighted_targets() {
    let route = route("any", "a.example", "/");
    let first = (0..1_000)
        .filter(|n| route.target(*n) == Some("first"))
        .count();
    assert_eq!(first, 900);
    let none = ServedRoute {
        targets: Vec::new(),
        ..route
    };
    assert_eq!(none.target(7), None);
}
