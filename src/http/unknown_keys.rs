//! Finds unknown keys in JSON that a caller sends, which are likely misspelt.
//!
//! Rows in the store may hold keys of a newer version, so the types of jobs ignore unknown keys
//! when they are decoded.  In a request an unknown key is an error.

use serde::Serialize;
use serde_json::Value;

/// Returns the path of the first key of `given` that `decoded`, the value decoded from it, does not
/// have; none if there is no such key.
pub fn find<T: Serialize>(given: &Value, decoded: &T) -> Option<String> {
    let known = serde_json::to_value(decoded).ok()?;
    find_in(given, &known)
}

fn find_in(given: &Value, known: &Value) -> Option<String> {
    match (given, known) {
        (Value::Object(given), Value::Object(known)) => given.iter().find_map(|(key, value)| {
            let Some(known) = known.get(key) else {
                return Some(key.clone());
            };
            find_in(value, known).map(|inner| format!("{key}.{inner}"))
        }),
        (Value::Array(given), Value::Array(known)) => {
            given
                .iter()
                .zip(known)
                .enumerate()
                .find_map(|(index, (given, known))| {
                    find_in(given, known).map(|inner| format!("{index}.{inner}"))
                })
        }
        _ => None,
    }
}
