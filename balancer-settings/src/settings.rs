//! Maps the JSON settings to the balancer's settings.

use glenfall_balancer::{
    CacheMode, Class, DeduplicationScope, Effect, Guarantees, Limits, Membership, Prices, RetryBudgetRule,
    Settings, Tenant, WeightSource,
};
use serde_json::Value;

use crate::fields::{flag, list, number, object, required, text, unsigned_integer, Object, ParseError};

/// Parses the settings object, which has the same form in the simulator's first message and in a node's
/// configuration file.
///
/// # Errors
///
/// The first setting that is missing or has the wrong type. [`Settings::validate`] checks the values.
pub fn parse(json: &Value) -> Result<Settings, ParseError> {
    let root = json.as_object().ok_or(ParseError::NotAnObject)?;
    let none = Object::new();
    let classes = classes(root)?;
    let tenants = tenants(root)?;
    let cache = cache_mode(root)?;
    Ok(Settings {
        nodes: nodes(root)?,
        zone: text(root, "locality")?.unwrap_or("").into(),
        classes,
        tenants,
        membership: membership(root)?,
        cache,
        weights: weight_source(root)?,
        guarantees: guarantees(object(root, "guarantees").unwrap_or(&none))?,
        limits: limits(object(root, "limits").unwrap_or(&none))?,
        prices: prices(object(root, "prices").unwrap_or(&none))?,
        event_interval: number(root, "round-s")?.unwrap_or(0.0),
    })
}

fn classes(root: &Object) -> Result<Vec<Class>, ParseError> {
    let entries = required("grades", list(root, "grades")?)?;
    entries.iter().map(|entry| class(entry.as_object())).collect()
}

fn class(from: Option<&Object>) -> Result<Class, ParseError> {
    let from = from.ok_or(ParseError::ElementsNotObjects("grades"))?;
    let deadline = required("grades.hard-limit-s", number(from, "hard-limit-s")?)?;
    Ok(Class {
        name: required("grades.name", text(from, "name")?)?.into(),
        latency_target: number(from, "target-s")?.unwrap_or(deadline),
        deadline,
        value: number(from, "importance")?.unwrap_or(1.0),
        late_value: number(from, "late-worth")?.unwrap_or(0.0),
        effect: match text(from, "effect")? {
            Some("free") => Effect::Safe,
            Some("guarded") => Effect::Keyed,
            _ => Effect::Unsafe,
        },
        deduplication_scope: match text(from, "group")? {
            Some("all") => DeduplicationScope::All,
            Some("zone") => DeduplicationScope::Zone,
            _ => DeduplicationScope::Cell,
        },
        deduplication_window: number(from, "key-ttl-s")?.unwrap_or(0.0),
        streamed: flag(from, "streamed")?.unwrap_or(false),
    })
}

fn tenants(root: &Object) -> Result<Vec<Tenant>, ParseError> {
    let Some(entries) = list(root, "tenants")? else { return Ok(Vec::new()) };
    entries.iter().map(|entry| tenant(entry.as_object())).collect()
}

fn tenant(from: Option<&Object>) -> Result<Tenant, ParseError> {
    let from = from.ok_or(ParseError::ElementsNotObjects("tenants"))?;
    Ok(Tenant {
        name: required("tenants.name", text(from, "name")?)?.into(),
        quota: required("tenants.quota-per-s", number(from, "quota-per-s")?)?,
    })
}

fn cache_mode(root: &Object) -> Result<CacheMode, ParseError> {
    let none = Object::new();
    let family = object(root, "family-info").unwrap_or(&none);
    if text(family, "mode")? != Some("aside") {
        return Ok(CacheMode::ReadThrough);
    }
    let kind = required("family-info.origin-kind", number(family, "origin-kind")?)?;
    let kinds = list(root, "skus")?.map_or(&[][..], Vec::as_slice);
    let name = kinds.get(kind.max(0.0) as usize).and_then(Value::as_str);
    let origin_kind = required("skus (entry at index family-info.origin-kind)", name)?.into();
    Ok(CacheMode::Aside { origin_kind })
}

fn nodes(root: &Object) -> Result<u32, ParseError> {
    let nodes = required("balancers", unsigned_integer(root, "balancers")?)?;
    nodes.try_into().map_err(|_| ParseError::TooMany("balancers"))
}

fn membership(root: &Object) -> Result<Membership, ParseError> {
    match required("membership-mode", text(root, "membership-mode")?)? {
        "pushed" => Ok(Membership::Pushed),
        "on_request" => Ok(Membership::OnRequest),
        other => Err(ParseError::UnknownMembershipMode(other.to_owned())),
    }
}

fn weight_source(root: &Object) -> Result<WeightSource, ParseError> {
    Ok(match text(root, "weight-source")? {
        Some("nominal") => WeightSource::Nominal,
        Some("rough") => WeightSource::Rough,
        Some("live") => WeightSource::Live,
        _ => WeightSource::Off,
    })
}

fn guarantees(from: &Object) -> Result<Guarantees, ParseError> {
    let required_number = |name: &str| required(&format!("guarantees.{name}"), number(from, name)?);
    Ok(Guarantees {
        answer_grace: required_number("grace-to-answer-s")?,
        max_subscription_gap: required_number("ask-every-s")?,
        initial_capacity_share: required_number("cold-from")?,
        slow_start_duration: required_number("ramp-time-s")?,
        drain_grace: required_number("drain-grace-s")?,
        overload_multiple: required_number("fall-multiple")?,
        overload_duration: required_number("fall-s")?,
        retry_budget: retry_budget(from)?,
        close_on_drain: number(from, "close-on-drain-within-s")?,
    })
}

/// A retry budget applies if a window is set. Its minimum and its ratio refer to that window, so they are an
/// error without one.
fn retry_budget(from: &Object) -> Result<Option<RetryBudgetRule>, ParseError> {
    let min_retries = number(from, "extra-free")?;
    let retry_ratio = number(from, "resend-ratio")?;
    let window = number(from, "budget-span-s")?;
    match (window, min_retries.or(retry_ratio)) {
        (Some(window), _) => Ok(Some(RetryBudgetRule {
            window,
            min_retries: min_retries.unwrap_or(0.0),
            retry_ratio: retry_ratio.unwrap_or(0.0),
        })),
        (None, Some(_)) => Err(ParseError::NoRetryWindow),
        (None, None) => Ok(None),
    }
}

fn limits(from: &Object) -> Result<Limits, ParseError> {
    Ok(Limits {
        cancel: flag(from, "cancel")?.unwrap_or(false),
        health_checks: flag(from, "probes")?.unwrap_or(false),
        peer_messages: flag(from, "peers")?.unwrap_or(false),
        hedging: flag(from, "parallel-tries")?.unwrap_or(false),
        retry_after: flag(from, "retry-after")?.unwrap_or(false),
        max_retry_after: number(from, "max-retry-after-s")?.unwrap_or(0.0),
        connect_timeout: number(from, "dial-timeout-s")?.unwrap_or(0.0),
        idle_timeout: number(from, "idle-close-s")?.unwrap_or(0.0),
        max_attempts: required("limits.max-attempts", unsigned_integer(from, "max-attempts")?)?
            .try_into()
            .map_err(|_| ParseError::TooMany("max-attempts"))?,
    })
}

fn prices(from: &Object) -> Result<Prices, ParseError> {
    Ok(Prices {
        connection: number(from, "connection")?.unwrap_or(0.0),
        handshake: number(from, "handshake")?.unwrap_or(0.0),
    })
}
