//! Fault switches that are read by a stand-in and changed by its handle or by request.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use axum::Json;
use axum::Router;
use axum::http::StatusCode;
use axum::routing::get;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Locks `mutex`, also after a panic of another holder.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Current fault switches and the random numbers that decide about faults at a rate.
pub(crate) struct Switches<T> {
    faults: Mutex<T>,
    rng: Mutex<ChaCha8Rng>,
}

impl<T: Clone + Default> Switches<T> {
    pub(crate) fn new(seed: u64) -> Switches<T> {
        Switches {
            faults: Mutex::new(T::default()),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        }
    }

    pub(crate) fn get(&self) -> T {
        lock(&self.faults).clone()
    }

    pub(crate) fn set(&self, faults: T) {
        *lock(&self.faults) = faults;
    }

    /// Whether a fault with probability `rate` strikes now.
    pub(crate) fn strikes(&self, rate: f64) -> bool {
        rate > 0.0 && lock(&self.rng).random_bool(rate.min(1.0))
    }
}

/// `current` with the fields that `change` names.
fn merge<T: Serialize + DeserializeOwned>(current: &T, change: Value) -> Result<T, String> {
    let mut merged = serde_json::to_value(current).map_err(|e| e.to_string())?;
    match (&mut merged, change) {
        (Value::Object(fields), Value::Object(change)) => fields.extend(change),
        _ => return Err("expected a JSON object".to_owned()),
    }
    serde_json::from_value(merged).map_err(|e| e.to_string())
}

/// Routes `/faults` and `/counters` of a stand-in.
pub(crate) fn routes<T, C>(
    read: impl Fn() -> T + Clone + Send + Sync + 'static,
    write: impl Fn(T) + Clone + Send + Sync + 'static,
    counters: impl Fn() -> C + Clone + Send + Sync + 'static,
) -> Router
where
    T: Serialize + DeserializeOwned + Send + 'static,
    C: Serialize + Send + 'static,
{
    let show = read.clone();
    let change = move |Json(change): Json<Value>| {
        let merged = merge(&read(), change);
        let answer = match merged {
            Ok(faults) => {
                write(faults);
                Ok(Json(read()))
            }
            Err(reason) => Err((StatusCode::BAD_REQUEST, reason)),
        };
        std::future::ready(answer)
    };
    Router::new()
        .route("/faults", get(move || std::future::ready(Json(show()))).post(change))
        .route("/counters", get(move || std::future::ready(Json(counters()))))
}

/// Routes of a stand-in whose state is shared as `state`.
pub(crate) fn state_routes<S, T, C>(
    state: &Arc<S>,
    read: fn(&S) -> T,
    write: fn(&S, T),
    counters: fn(&S) -> C,
) -> Router
where
    S: Send + Sync + 'static,
    T: Serialize + DeserializeOwned + Send + 'static,
    C: Serialize + Send + 'static,
{
    let (a, b, c) = (state.clone(), state.clone(), state.clone());
    routes(move || read(&a), move |faults| write(&b, faults), move || counters(&c))
}
