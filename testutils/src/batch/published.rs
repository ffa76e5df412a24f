//! Encoded configurations as the platform's operator publishes them to the store.

use serde_json::Value;
use serde_json::json;

/// A configuration whose queues have host `h`, service `work` and a path prefix of their name;
/// `public` is set where the second element is not `None`. Accounts are left out if `accounts` is
/// null.
///
/// ```
/// use serde_json::Value;
/// use spokelift_lib::batch::config::Config;
/// use spokelift_testutils::batch::published::published_config;
/// let config = Config::decode(&published_config(3, &[("q", Some(true))], Value::Null)).unwrap();
/// assert_eq!((config.version, config.queues.len()), (3, 1));
/// ```
pub fn published_config(version: u64, queues: &[(&str, Option<bool>)], accounts: Value) -> Vec<u8> {
    let queues = queues.iter().map(|(name, is_public)| {
        let mut queue = json!({
            "name": name, "host": "h", "pathPrefix": format!("/{name}/"), "service": "work",
        });
        if let Some(is_public) = is_public {
            queue["public"] = json!(is_public);
        }
        queue
    });
    let mut config = json!({ "version": version, "routes": queues.collect::<Vec<_>>() });
    if !accounts.is_null() {
        config["tenants"] = accounts;
    }
    config.to_string().into_bytes()
}

/// A configuration of `count` queues of many services, of which no two look alike.
pub fn large_config(version: u64, count: u32) -> Vec<u8> {
    let queue = |number: u32| {
        let scrambled = u64::from(number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let (host, path) = (scrambled >> 32, scrambled & 0xffff_ffff);
        json!({
            "name": format!("queue-{number}"), "host": format!("{host:08x}.example"),
            "pathPrefix": format!("/{path:08x}/"), "timeoutMs": 1_000 + number,
            "priority": number % 5, "service": format!("service-{}", number % 40),
            "maxAttempts": 3,
        })
    };
    let queues: Vec<Value> = (0..count).map(queue).collect();
    json!({ "version": version, "routes": queues }).to_string().into_bytes()
}

/// An account with API keys and a quota of `cpu` thousandths of a core.
pub fn account(name: &str, keys: &[&str], cpu: u64) -> Value {
    json!({ "name": name, "apiKeys": keys, "weight": 3, "maximum": { "cpu": cpu, "memMb": 0 } })
}
