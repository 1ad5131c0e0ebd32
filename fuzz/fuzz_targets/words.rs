//! What else comes from members and from disks: what they tell of their load, words about versions,
//! and the files of an elector and of a floor.
#![no_main]

use libfuzzer_sys::fuzz_target;
use pipitlever_subsetting::told::{Told, MOST};
use pipitlever_config_versions::elector::Kept;
use pipitlever_config_versions::floor::Saved;
use pipitlever_config_versions::message::{Hint, Message};
use pipitlever_config_versions::saved;
use pipitlever_config_versions::word::Word;

fuzz_target!(|data: &[u8]| {
    if let Some(told) = Told::read(data) {
        assert!(told.write().len() <= MOST);
        assert_eq!(Told::read(&told.write()), Some(told));
    }
    let _ = Message::read(data);
    let _ = Hint::read(data);
    if let Some(word) = Word::read(data) {
        assert_eq!(Word::read(&word.write()), Some(word));
    }
    let _ = saved::read::<Kept>(data);
    let _ = saved::read::<Saved>(data);
});
