//! Statements by example.

use gingerkeel_domain::catalog::{Change, LeafState};
use gingerkeel_domain::identifiers::{LeafId, ServiceName, ShardId};
use gingerkeel_statement::{Statement, StatementError, Subject, parse};
use rstest::rstest;

#[rstest]
#[case("SHOW LEAVES", Statement::Show(Subject::Leaves))]
#[case(
    "drain leaf 3;",
    Statement::Change(Change::SetLeafState { leaf: LeafId(3), state: LeafState::Draining })
)]
#[case(
    "ASSIGN SHARD 0 OF console TO LEAF 1, 2 -- the first shard",
    Statement::Change(Change::AssignShard {
        service: ServiceName::new("console"),
        shard: ShardId(0),
        leaves: vec![LeafId(1), LeafId(2)],
    })
)]
fn statement_is_understood(#[case] text: &str, #[case] expected: Statement) {
    assert_eq!(parse(text), Ok(vec![expected]));
}

#[rstest]
#[case("DRAIN LEAF x", 1, 12)]
#[case("SHOW STATUS;\nDRAIN LEFT 3", 2, 7)]
fn fault_is_placed(#[case] text: &str, #[case] line: usize, #[case] column: usize) {
    match parse(text) {
        Err(StatementError::Syntax(found_line, found_column, _)) => {
            assert_eq!((found_line, found_column), (line, column));
        }
        other => panic!("expected a syntax error, got {other:?}"),
    }
}

#[test]
fn number_out_of_range_is_refused() {
    let error = parse("DRAIN LEAF 99999999999").unwrap_err();
    assert!(matches!(error, StatementError::OutOfRange(1, 12, _)), "{error}");
}
