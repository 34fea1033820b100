//! The final response to a query, as the dispatcher stores it in the state of the client's connection. The
//! connection's task encodes the response.
use alderway_layouts::ShardId;
use alderway_layouts::coverage::Coverage;

/// The largest body of an answer, in bytes, according to the client protocol.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024;
/// Length of the JSON around the results of an answer, in bytes, at most.
pub const EMPTY_ANSWER_BYTES: usize = 32;
/// Length of the JSON around the value of a result, in bytes, at most.
const RESULT_FRAME_BYTES: usize = 80;

/// The number of bytes that a value adds to an answer, at most: JSON escapes quotes and backslashes by one byte
/// and control characters by five.
pub fn result_bytes(value: &str) -> usize {
    let escapes = value.bytes().map(|byte| match byte {
        b'"' | b'\\' => 1,
        0..0x20 => 5,
        _ => 0,
    });
    RESULT_FRAME_BYTES + value.len() + escapes.sum::<usize>()
}

/// The answered key ranges of a query, each with the shard that answered and its value.
pub type AnswerCoverage = Coverage<(ShardId, String)>;

/// The value of one answered shard request.
#[derive(Debug)]
pub struct ShardResult {
    /// Id of the shard that answered.
    pub shard: u32,
    /// The keys that the value is for, from the first (inclusive) to the second (exclusive); `None` without a
    /// shard map.
    pub keys: Option<(u32, u32)>,
    /// The value that the data node sent, unchanged.
    pub value: String,
}

/// The final response to a query; each query gets exactly one.
pub enum QueryResponse {
    /// The query is answered with one value for each answered shard request.
    Results {
        /// Whether the answered fraction of the query reaches the `complete_fraction` of the query's class.
        complete: bool,
        /// One entry for each shard request that was answered.
        results: Vec<ShardResult>,
    },
    /// The query is answered with one value for each answered key range. Used if the router has a shard map.
    ResultsByKeys {
        /// Whether the answered fraction of the query reaches the `complete_fraction` of the query's class.
        complete: bool,
        /// The answered key ranges and their values.
        coverage: AnswerCoverage,
    },
    /// The router has no capacity for the query, or is in the last phase of a shutdown.
    NoCapacity,
    /// The policy, the code that decides about queries, rejected the query. The client may retry the query:
    /// either the class of the query is idempotent, or no data node has executed any part of the query.
    Rejected {
        /// How long the client should wait before it retries, in seconds; `None` if the policy gives no time;
        /// the response then has no `Retry-After` field.
        retry_after_s: Option<f64>,
    },
    /// The policy failed the query. Data nodes may have executed parts of the query.
    Failed,
    /// The deadline of the query passed before a response was ready.
    DeadlineExceeded,
    /// An earlier query with the same id may have been executed, and must not be executed again.
    MayHaveExecuted,
}

/// A final response that is not yet encoded.
pub struct PendingResponse {
    /// The response to encode.
    pub response: QueryResponse,
    /// Whether the router closes the client's connection after the response.
    pub closes_connection: bool,
}
