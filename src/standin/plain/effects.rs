use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::rc::Rc;

/// Counts of a plain service's side effects by name. Clones share the counts, so that they survive
/// a crash of the stand-in.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    counts: Rc<RefCell<BTreeMap<String, u64>>>,
    file: Option<Rc<File>>,
}

impl Effects {
    /// Reads the counts from a file with one effect per line and appends new effects to it.
    pub fn from_file(path: &str) -> io::Result<Effects> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        let effects = Effects { file: Some(Rc::new(file)), ..Effects::default() };
        for line in std::fs::read_to_string(path)?.lines() {
            effects.count(line);
        }
        Ok(effects)
    }

    /// Records an effect and returns how often it has occurred.
    pub fn record(&self, name: &str) -> io::Result<u64> {
        let name = name.replace(['\n', '\r'], " ");
        if let Some(mut file) = self.file.as_deref() {
            file.write_all(format!("{name}\n").as_bytes())?;
        }
        Ok(self.count(&name))
    }

    fn count(&self, name: &str) -> u64 {
        let mut counts = self.counts.borrow_mut();
        let count = counts.entry(name.into()).or_default();
        *count += 1;
        *count
    }

    pub fn counts(&self) -> BTreeMap<String, u64> {
        self.counts.borrow().clone()
    }
}
