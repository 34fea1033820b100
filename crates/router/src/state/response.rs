//! The final response to a query, as the dispatcher stores it in the state of the client's connection. The connection's
//! task encodes it.
use alderway_layouts::ShardId;
use alderway_layouts::coverage::Coverage;

/// The answered keys of a query, each range with the shard that answered and the value.
pub type AnswerCoverage = Coverage<(ShardId, String)>;

/// The value of one shard request.
#[derive(Debug)]
pub struct ShardResult {
    /// The shard that answered.
    pub shard: u32,
    /// The keys that the value is for, from the first to below the second, if they are known.
    pub keys: Option<(u32, u32)>,
    /// The value, as the data node sent it.
    pub value: String,
}

/// The one final response to a query.
pub enum QueryResponse {
    /// The query is answered with values by shard.
    Results {
        /// Whether enough was answered for the query's class to call it complete.
        complete: bool,
        /// One entry for each shard request that was answered.
        results: Vec<ShardResult>,
    },
    /// The query is answered with values by keys, as a shard map is followed.
    ResultsByKeys {
        /// Whether enough was answered for the query's class to call it complete.
        complete: bool,
        /// The answered keys and their values.
        coverage: AnswerCoverage,
    },
    /// There is no capacity for the query, or the router shuts down.
    NoCapacity,
    /// The policy rejected the query. Its client may retry it without side effects.
    Rejected {
        /// How long the client should wait before it retries, in seconds.
        retry_after_s: Option<f64>,
    },
    /// The policy failed the query, which may have had an effect.
    Failed,
    /// The deadline of the query passed first.
    DeadlineExceeded,
}

/// A response that is not yet encoded.
pub struct PendingResponse {
    /// The response.
    pub response: QueryResponse,
    /// Whether the connection closes after the response.
    pub closes_connection: bool,
}
