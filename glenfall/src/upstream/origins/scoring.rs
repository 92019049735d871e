//! Scores of candidate servers: each is chosen with a probability proportional to its score.

use tokio::time::Instant;

use super::origin::Origin;

/// Factor during slow start: a server that has just started handles about this fraction of its usual load.
const SLOW_START_FACTOR: f64 = 0.4;
/// Factor for a server in another zone, where traffic between zones is expensive. Such servers are still chosen when
/// those of the own zone are overloaded.
const OTHER_ZONE_FACTOR: f64 = 0.1;
/// Factor for a server to which an idle connection exists: a new connection takes a round trip, and may occupy a slot
/// at the server.
const CONNECTION_REUSE_FACTOR: f64 = 4.0;
/// How steeply the score falls with the fraction of a server's capacity that is in use.
const UTILIZATION_SLOPE: f64 = 4.0;
/// Exponent of the ratio of the typical latency to a server's own. With 2, faster servers also take requests that would
/// queue at slower ones; free capacity is squared for the same reason.
const SPEED_EXPONENT: f64 = 2.0;
/// Lower bound of scores and of divisors, which keeps them positive.
const MIN_POSITIVE: f64 = 1e-9;

/// A server that a request may go to, and the confidence in its latency estimate now.
pub struct Candidate<'a> {
    /// The server.
    pub origin: &'a Origin,
    latency_confidence: f64,
}

/// Inputs that the scores of all candidates have in common.
pub struct Scoring<'a> {
    now: Instant,
    /// The zone whose servers are preferred, if any.
    preferred_zone: Option<&'a str>,
    candidates: Vec<Candidate<'a>>,
    /// Whether all candidates are ejected. Ejections are ignored then.
    all_ejected: bool,
    /// Mean of the logarithms of the candidates' latencies, weighted by the confidence in each.
    typical_log_latency: f64,
}

impl<'a> Scoring<'a> {
    /// Prepares the scores of the servers that a request may go to.
    pub fn new(now: Instant, preferred_zone: Option<&'a str>, origins: &[&'a Origin]) -> Self {
        let candidate =
            |origin: &&'a Origin| Candidate { origin, latency_confidence: origin.latency().confidence(now) };
        let candidates: Vec<Candidate> = origins.iter().map(candidate).collect();
        let all_ejected = origins.iter().all(|origin| origin.outlier_detector().is_ejected(now));
        let typical_log_latency = typical_log_latency(&candidates);
        Scoring { now, preferred_zone, candidates, all_ejected, typical_log_latency }
    }

    /// The candidates, in the order given.
    pub fn candidates(&self) -> &[Candidate<'a>] {
        &self.candidates
    }

    /// The score of a candidate; 0 if it must not be chosen.
    pub fn score(&self, candidate: &Candidate, has_idle_connection: bool) -> f64 {
        let origin = candidate.origin;
        if !self.all_ejected && origin.outlier_detector().is_ejected(self.now) {
            return 0.0;
        }
        let capacity = f64::from(origin.capacity());
        let utilization = f64::from(origin.in_flight()) * UTILIZATION_SLOPE / capacity;
        let free_capacity = 1.0 / (1.0 + utilization);
        let base = capacity * free_capacity * free_capacity * self.speed(candidate);
        let slow_start = if origin.slow_start_ends_at() > self.now { SLOW_START_FACTOR } else { 1.0 };
        let connection = if has_idle_connection { CONNECTION_REUSE_FACTOR } else { 1.0 };
        let success = origin.outlier_detector().success_factor(self.now);
        (base * success * slow_start * self.locality(origin) * connection).max(MIN_POSITIVE)
    }

    fn speed(&self, candidate: &Candidate) -> f64 {
        let latency = candidate.origin.latency();
        if !latency.is_known() {
            return 1.0;
        }
        let relative_log_speed = self.typical_log_latency - latency.log_average();
        (SPEED_EXPONENT * candidate.latency_confidence * relative_log_speed).exp()
    }

    fn locality(&self, origin: &Origin) -> f64 {
        match self.preferred_zone {
            Some(zone) if origin.server().zone != zone => OTHER_ZONE_FACTOR,
            _ => 1.0,
        }
    }
}

fn typical_log_latency(candidates: &[Candidate]) -> f64 {
    let known = || candidates.iter().filter(|candidate| candidate.origin.latency().is_known());
    let confidence_sum: f64 = known().map(|candidate| candidate.latency_confidence).sum();
    let weighted =
        |candidate: &Candidate| candidate.origin.latency().log_average() * candidate.latency_confidence;
    known().map(weighted).sum::<f64>() / confidence_sum.max(MIN_POSITIVE)
}
