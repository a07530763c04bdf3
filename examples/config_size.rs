//! Measures the root object at a given size: bytes, and the time a host takes to put it in force.
//!
//! Run with `cargo run --release --example config_size`.

use jacinthrock::{
    ChangeRecord, DeclarationTree, MAX_HISTORY_ENTRIES, MAX_VALUE_BYTES, RootDocument,
    resolve_value,
};
use std::hint::black_box;
use std::time::Instant;

/// Services, endpoints of each, and customers of one row.
const SIZES: [(usize, usize, usize); 4] = [(2, 22, 10), (4, 40, 50), (10, 80, 250), (17, 82, 550)];
/// Changes of configuration in a day.
const CHANGES_A_DAY: f64 = 4000.0;
const SECONDS_A_DAY: f64 = 86_400.0;
const REPEATS: u32 = 50;

fn main() {
    println!(
        "endpoints  customers  tree KB  value KB  of limit  resolve ms  KB/s each host  core %"
    );
    for (services, endpoints, customers) in SIZES {
        let tree = tree_of(services, endpoints, customers);
        let value = value_with_history(&tree);
        let begun = Instant::now();
        for _ in 0..REPEATS {
            black_box(resolve_value(1, black_box(&value)).expect("the tree is valid"));
        }
        let seconds = begun.elapsed().as_secs_f64() / f64::from(REPEATS);
        let rate = CHANGES_A_DAY / SECONDS_A_DAY;
        println!(
            "{:9}  {customers:9}  {:7.1}  {:8.1}  {:7.1}%  {:10.2}  {:14.2}  {:6.3}",
            services * endpoints,
            tree.to_document().to_string().len() as f64 / 1024.0,
            value.len() as f64 / 1024.0,
            value.len() as f64 / MAX_VALUE_BYTES as f64 * 100.0,
            seconds * 1000.0,
            value.len() as f64 / 1024.0 * rate,
            seconds * rate * 100.0,
        );
    }
}

fn value_with_history(tree: &DeclarationTree) -> Box<[u8]> {
    let change = ChangeRecord {
        commit: "0194f1c2-0000-7000-8000-000000000000".into(),
        author: "operator-name".into(),
        time: "2026-12-03T22:00:00Z".into(),
        message: "Raise the limit of a customer".into(),
        fields: vec!["customer-100: settings.concurrent_requests".into()],
        ..ChangeRecord::default()
    };
    let mut document = RootDocument::first(tree, change.clone());
    for revision in 1..=MAX_HISTORY_ENTRIES as u64 {
        document = document.next(revision, tree, change.clone());
    }
    document.encode()
}

fn tree_of(services: usize, endpoints: usize, customers: usize) -> DeclarationTree {
    let mut files = vec![("root".to_owned(), "name = \"root\"\nkind = \"group\"\n".to_owned())];
    for service in 0..services {
        let mut text = format!(
            "name = \"model-{service}\"\nkind = \"service\"\nparent = \"root\"\n[model]\n\
             name = \"model-{service}\"\nversion = \"2026.1\"\nlayers = 32\nstages = 2\n\
             endpoint_slots = 16\n"
        );
        for endpoint in 0..endpoints {
            text.push_str(&format!(
                "[[model.endpoints]]\nname = \"model-{service}-{endpoint}\"\n\
                 address = \"10.{service}.0.{endpoint}:8000\"\ndomain = \"region-1-domain-{}\"\n\
                 accelerator = \"gpu-large\"\nchecks_fence = true\n",
                endpoint % 11
            ));
        }
        files.push((format!("model-{service}"), text));
    }
    for customer in 0..customers {
        let text = format!(
            "name = \"customer-{customer}\"\nkind = \"customer\"\nparent = \"root\"\n[settings]\n\
             concurrent_requests = 64\nshare = 2\n[customer]\n\
             key_hashes = [\"{customer:064x}\"]\nservices = [\"model-0\", \"model-1\"]\n"
        );
        files.push((format!("customer-{customer}"), text));
    }
    let files = files.iter().map(|(file, text)| (&**file, &**text));
    DeclarationTree::from_files(files).expect("the tree reads")
}
