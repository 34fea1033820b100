//! The final response to a query, as the dispatcher leaves it with the client's connection. The protocol edge that owns
//! the connection encodes it.
use alderway_layouts::ShardId;
use alderway_layouts::coverage::Coverage;

/// What was answered of a query by keys: from which shard, and the value.
pub type AnswerCoverage = Coverage<(ShardId, String)>;

/// The value of one shard request.
#[derive(Debug)]
pub struct ShardResult {
    /// The shard that answered.
    pub shard: u32,
    /// The keys that the value is for, from the first to below the second, where the query was for keys.
    pub keys: Option<(u32, u32)>,
    /// The value as the data node gave it.
    pub value: String,
}

/// The one final response to a query.
pub enum QueryResponse {
    /// The values by shard.
    Results {
        /// Whether enough was answered for the query's class to call it complete.
        complete: bool,
        /// One entry for each shard request that was answered.
        results: Vec<ShardResult>,
    },
    /// The values by keys, where a shard map is followed.
    ResultsByKeys {
        /// Whether enough was answered for the query's class to call it complete.
        complete: bool,
        /// What was answered, with its keys.
        coverage: AnswerCoverage,
    },
    /// No capacity was left for the query, or none is admitted any more.
    NoCapacity,
    /// The policy rejected it: a retry by its client is harmless.
    Rejected {
        /// Advice to the client when to try again, in seconds.
        retry_after_s: Option<f64>,
    },
    /// The policy gave it up; it may have had an effect.
    Failed,
    /// Its client's time ran out first.
    DeadlineExceeded,
}

/// A response that is not encoded yet.
pub struct PendingResponse {
    /// What to tell the client.
    pub response: QueryResponse,
    /// Whether the connection ends after it.
    pub closes_connection: bool,
}
