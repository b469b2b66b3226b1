use almondroad::forward::LabelSet;
use smol_str::{SmolStr, format_smolstr};

/// Guards against unbounded label cardinality: each of thousands of organisations and routes would
/// get its own histogram.
#[test]
fn only_the_first_values_get_their_own_label() {
    let labels = LabelSet::default();
    let shown: Vec<SmolStr> = (0..1_000)
        .map(|number| labels.label_for(&format_smolstr!("organisation-{number}")))
        .collect();
    assert_eq!(shown[63], "organisation-63");
    assert_eq!(shown[64], "(others)");
    assert_eq!(labels.label_for(&"organisation-7".into()), "organisation-7");
    assert_eq!(labels.label_for(&"organisation-900".into()), "(others)");
}
