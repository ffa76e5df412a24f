//! What the operator of the users' platform has configured: two queues and two services.

use serde_json::Value;
use serde_json::json;

use crate::platform::machines::RESERVE;

/// Host under which clients call.
pub(super) const HOST: &str = "site.example";

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

/// Two queues, whose tasks run in service `work`, one of them with advice; service `spare` is a
/// reserve.
pub(super) fn config() -> Value {
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
