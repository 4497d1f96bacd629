//! Finding keys that a caller has misspelt.
//!
//! Rows in the store may hold keys of a newer version, so the types of jobs pass
//! unknown ones over; what a person sends must not.

use serde::Serialize;
use serde_json::Value;

/// Names the first key of `given` that `read`, which was read from it, does not have.
pub fn unknown<T: Serialize>(given: &Value, read: &T) -> Option<String> {
    let known = serde_json::to_value(read).ok()?;
    unknown_in(given, &known)
}

fn unknown_in(given: &Value, known: &Value) -> Option<String> {
    match (given, known) {
        (Value::Object(given), Value::Object(known)) => given.iter().find_map(|(key, value)| {
            let Some(known) = known.get(key) else {
                return Some(key.clone());
            };
            unknown_in(value, known).map(|inner| format!("{key}.{inner}"))
        }),
        (Value::Array(given), Value::Array(known)) => {
            given
                .iter()
                .zip(known)
                .enumerate()
                .find_map(|(place, (given, known))| {
                    unknown_in(given, known).map(|inner| format!("{place}.{inner}"))
                })
        }
        _ => None,
    }
}
