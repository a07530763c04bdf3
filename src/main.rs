//! trial
use jacinthrock::*;
use std::rc::Rc;
use std::sync::Arc;
#[tokio::main(flavor = "current_thread")]
async fn main() {
    let args: Vec<String> = std::env::args().collect();
    let dir = &args[2];
    let at = args.iter().position(|a| a == "--platform").unwrap();
    let store = Rc::new(HttpStore::new(args[at + 1].clone(), HttpStoreOptions::default(), Arc::new(CounterRegistry::new())));
    let tree = DeclarationTree::from_directory(dir).unwrap();
    let publisher = ConfigPublisher::new(store, PublishOptions::default());
    let change = ChangeRecord { commit: "c1".into(), author: "a".into(), time: "t".into(), message: "m".into(), fields: vec![], unlisted: 0, parent_revision: 0 };
    let r = publisher.commit(ConfigEdit { base: None, tree: &tree, change }).await;
    println!("{r:?}");
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
}
