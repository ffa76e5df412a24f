//! The configuration that the platform's operator publishes: two queues and two services.

use serde_json::Value;
use serde_json::json;

use crate::platform::machines::RESERVE;

/// The host of the queues.
pub const HOST: &str = "site.example";

fn queue(name: &str, advice: &Value) -> Value {
    let mut queue = json!({
        "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "kind": "unsafe",
        "timeoutMs": 3000, "targetLatencyMs": 600, "priority": 0, "service": "work",
        "maxAttempts": 3, "stretch": 1.6,
    });
    if !advice.is_null() {
        queue["advice"] = advice.clone();
    }
    queue
}

/// Two queues of service `work`, `q` and `advised`, the latter with advice; service `spare` is the
/// reserve.
pub fn config() -> Value {
    json!({
        "version": 1,
        "routes": [queue("q", &Value::Null), queue("advised", &json!({ "decide_ms": 5 }))],
        "services": [
            { "name": "work", "enforcesCapacity": true, "headroom": false },
            { "name": RESERVE, "enforcesCapacity": true, "headroom": true },
        ],
        "limits": { "maxBodyBytes": 262144 },
    })
}

/// An account in the configuration.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// Its quota: processor in thousandths of a core, and memory in megabytes; 0 for no limit.
    pub maximum: (u64, u64),
}

impl Account {
    /// An account with one key and no quota.
    pub fn new(name: &str, key: &str) -> Account {
        Account { name: name.to_owned(), keys: vec![key.to_owned()], maximum: (0, 0) }
    }
}

/// Like [`config`], with accounts, which may submit to queue `q`; queue `open` is public.
pub(super) fn config_with_accounts(version: u64, accounts: &[Account]) -> Value {
    let mut config = config();
    let mut restricted = queue("q", &Value::Null);
    restricted["public"] = json!(false);
    let mut open = queue("open", &Value::Null);
    open["public"] = json!(true);
    config["version"] = json!(version);
    config["routes"] = json!([restricted, open]);
    let accounts = accounts.iter().map(|account| {
        let (cpu, memory) = account.maximum;
        json!({
            "name": account.name, "apiKeys": account.keys, "priority": 1, "weight": 10,
            "maximum": { "cpu": cpu, "memMb": memory, "gpu": 0 },
        })
    });
    config["tenants"] = accounts.collect();
    config
}
