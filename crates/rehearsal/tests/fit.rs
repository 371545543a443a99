//! Lines through points.

use gingerkeel_rehearsal::fit::Line;

#[test]
fn points_on_a_line_give_that_line() {
    let line = Line::through(&[(0.0, 1.0), (1.0, 3.0), (4.0, 9.0)]).expect("a line");
    assert!((line.slope - 2.0).abs() < 1e-9, "{line:?}");
    assert!((line.intercept - 1.0).abs() < 1e-9, "{line:?}");
    assert!((line.r_squared - 1.0).abs() < 1e-9, "{line:?}");
    assert!((line.at(10.0) - 21.0).abs() < 1e-9, "{line:?}");
}

#[test]
fn scattered_points_lower_the_explained_share() {
    let line = Line::through(&[(0.0, 0.0), (1.0, 2.0), (2.0, 0.0), (3.0, 2.0)]).expect("a line");
    assert!((line.slope - 0.4).abs() < 1e-9, "{line:?}");
    assert!((line.r_squared - 0.2).abs() < 1e-9, "{line:?}");
}

#[test]
fn one_place_gives_no_line() {
    assert_eq!(Line::through(&[]), None);
    assert_eq!(Line::through(&[(1.0, 1.0), (1.0, 2.0)]), None);
}
