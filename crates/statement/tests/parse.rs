//! Parser examples: statements, and the positions of errors.

use gingerkeel_domain::catalog::{Change, LeafState, MemberState};
use gingerkeel_domain::crash_suspects::RequestDigest;
use gingerkeel_domain::identifiers::{
    BrokerName, ClassName, LeafId, Revision, ServiceName, ShardId, SoftwareVersion, ZoneName,
};
use gingerkeel_domain::rollout::{ExposureLimit, RolloutOrder};
use gingerkeel_statement::{Statement, StatementError, Subject, TEXT_LIMIT, parse};
use rstest::rstest;

#[rstest]
#[case("SHOW LEAVES", Statement::Show(Subject::Leaves))]
#[case(
    "drain leaf 3;",
    Statement::change(Change::SetLeafState { leaf: LeafId(3), state: LeafState::Draining })
)]
#[case(
    "ASSIGN SHARD 0 OF console TO LEAF 1, 2 -- the first shard",
    Statement::change(Change::AssignShard {
        service: ServiceName::new("console"),
        shard: ShardId(0),
        leaves: vec![LeafId(1), LeafId(2)],
    })
)]
#[case(
    "RESUME LEAF 3 AT REVISION 17",
    Statement::Change {
        change: Change::SetLeafState { leaf: LeafId(3), state: LeafState::Active },
        based_on: Some(Revision(17)),
    }
)]
#[case(
    "SHOW SHARDS OF console",
    Statement::Show(Subject::Shards(Some(ServiceName::new("console"))))
)]
#[case("SHOW CHARGES", Statement::Show(Subject::Charges(None)))]
#[case("SHOW REVISION", Statement::Show(Subject::Revision))]
#[case("show routes", Statement::Show(Subject::Routes))]
#[case("SHOW ZONES", Statement::Show(Subject::Zones))]
#[case(
    "evacuate zone pa-hall-a",
    Statement::change(Change::EvacuateZone(ZoneName::new("pa-hall-a")))
)]
#[case("RESTORE ZONE b;", Statement::change(Change::RestoreZone(ZoneName::new("b"))))]
#[case("show tenants", Statement::Show(Subject::Tenants))]
#[case("SHOW ROLLOUTS", Statement::Show(Subject::Rollouts))]
#[case("show refused requests;", Statement::Show(Subject::RefusedRequests))]
#[case(
    "RELEASE REQUEST 00c0ffee00c0ffee",
    Statement::change(Change::ReleaseRequest(RequestDigest(0x00c0_ffee_00c0_ffee)))
)]
#[case(
    "roll out version 2.4.1-rc1 of console within 90s",
    Statement::change(Change::BeginRollout(RolloutOrder {
        service: ServiceName::new("console"),
        target: SoftwareVersion::new("2.4.1-rc1"),
        duration_ms: 90_000,
        limit: ExposureLimit::default(),
        ordered_at_ms: 0,
    }))
)]
#[case("SHOW DIRECTORY;", Statement::Show(Subject::Directory))]
#[case(
    "SET PRICE OF urgent OF console TO 12",
    Statement::change(Change::SetPrice {
        service: ServiceName::new("console"),
        class: ClassName::new("urgent"),
        price: 12,
    })
)]
#[case(
    "DRAIN BROKER palermo-1",
    Statement::change(Change::SetBrokerState {
        broker: BrokerName::new("palermo-1"),
        state: MemberState::Draining,
    })
)]
fn statement_is_parsed(#[case] text: &str, #[case] expected: Statement) {
    assert_eq!(parse(text), Ok(vec![expected]));
}

#[rstest]
#[case("DRAIN LEAF x", 1, 12)]
#[case("SHOW STATUS;\nDRAIN LEFT 3", 2, 7)]
fn syntax_error_has_a_position(#[case] text: &str, #[case] line: usize, #[case] column: usize) {
    match parse(text) {
        Err(StatementError::Syntax(found_line, found_column, _)) => {
            assert_eq!((found_line, found_column), (line, column));
        }
        other => panic!("expected a syntax error, got {other:?}"),
    }
}

#[test]
fn number_out_of_range_is_rejected() {
    let error = parse("DRAIN LEAF 99999999999").unwrap_err();
    assert!(matches!(error, StatementError::OutOfRange(1, 12, _)), "{error}");
}

#[test]
fn overlong_name_is_rejected_with_its_position() {
    let error = parse(&format!("DRAIN BROKER {}", "b".repeat(65))).unwrap_err();
    assert!(matches!(error, StatementError::NameTooLong(1, 14, 65, 64)), "{error}");
}

#[test]
fn overlong_text_is_rejected() {
    let error = parse(&" ".repeat(TEXT_LIMIT + 1)).unwrap_err();
    assert!(matches!(error, StatementError::TooLong(_, TEXT_LIMIT)), "{error}");
}

#[test]
fn excerpt_marks_the_error() {
    let text = "SHOW STATUS;\nDRAIN LEFT 3";
    let excerpt = parse(text).unwrap_err().excerpt(text).unwrap();
    assert_eq!(excerpt, "DRAIN LEFT 3\n      ^");
}
