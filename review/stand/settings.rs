//! Configurations of small deployments, in the form of the protocol's and wire's pages.
#![allow(dead_code)]
use crate::stand::{Entry, list_json};
use std::net::SocketAddr;

/// `ebene-tickets` at the size of its small twin: figures of its site file, `Limits.MaxOpen` for some seconds of load.
pub fn ebene(cells: usize, replicas: usize) -> String {
    format!(
        r#"{{"Extra":{{"BundleMax":1,"Cells":{cells},"ClassFetch":[0,0,0],"ClassNeed":[1.0,1.0,1.0],"FloorByClass":[0.7,1.0,0.6],"IncompleteWorth":[0.9,0.9,0.9],"PerCallWorkUs":0,"Reach":4,"Slices":{cells},"WarmKeys":false}},
 "Discovery":"automatic","TickUs":5000,"ReplicasOfMe":{replicas},"Index":0,
 "Obligations":{{"AnswerSlackUs":20000,"AskWithinUs":10000000,"ColdFrom":0.19,"DrainGraceUs":250000,"FallMultiple":3.0,"FallUs":1500000,"WarmUpUs":17000000}},
 "Limits":{{"MayCancel":true,"ParallelTries":true,"MaxAttempts":4,"MaxOpen":600,"StreamsPerConn":32,"DialTimeoutUs":250000,"KeepaliveUs":30000000,"RetryAfter":false,"MaxRetryAfterUs":500000,"Probes":true,"Peers":true}},
 "Services":[{{"Name":"sales-report","PromiseUs":2500000,"DeadlineUs":5000000,"Effect":"idempotent","Worth":5,"LateShare":0}},
  {{"Name":"booking-lookup","PromiseUs":2500000,"DeadlineUs":5000000,"Effect":"idempotent","Worth":1,"LateShare":0}},
  {{"Name":"seat-search","PromiseUs":2500000,"DeadlineUs":6000000,"Effect":"idempotent","Worth":5,"LateShare":0.3}}],
 "Tenants":[],"OverShareWorth":0.1}}"#
    )
}

/// `lakeshore-exchange` at the size of its small twin.
pub fn lakeshore(cells: usize, replicas: usize) -> String {
    let slices = cells * 4;
    format!(
        r#"{{"Extra":{{"BundleMax":8,"Cells":{cells},"ClassFetch":[0,0],"ClassNeed":[1.0,1.0],"FloorByClass":[1.0,1.0],"IncompleteWorth":[0.9,0.9],"PerCallWorkUs":57000,"Reach":3,"Slices":{slices},"WarmKeys":false}},
 "Discovery":"automatic","TickUs":5000,"ReplicasOfMe":{replicas},"Index":0,
 "Obligations":{{"AnswerSlackUs":20000,"AskWithinUs":10000000,"ColdFrom":0.17,"DrainGraceUs":2000000,"FallMultiple":2.5,"FallUs":1500000,"WarmUpUs":18000000}},
 "Limits":{{"MayCancel":true,"ParallelTries":true,"MaxAttempts":3,"MaxOpen":180,"StreamsPerConn":32,"DialTimeoutUs":250000,"KeepaliveUs":15000000,"RetryAfter":false,"MaxRetryAfterUs":2000000,"Probes":true,"Peers":false}},
 "Services":[{{"Name":"region-report","PromiseUs":3000000,"DeadlineUs":10000000,"Effect":"idempotent","Worth":2,"LateShare":0.1}},
  {{"Name":"site-search","PromiseUs":2500000,"DeadlineUs":5000000,"Effect":"idempotent","Worth":1,"LateShare":0.3}}],
 "Tenants":[],"OverShareWorth":1}}"#
    )
}

/// The configuration file of a program.
pub fn config(name: &str, listen: SocketAddr, discovery: SocketAddr, index: u64, known: &[Entry], settings: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\n \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\n \"known\":{},\n \"settings\":{settings}}}\n",
        list_json(index, true, known)
    )
}
