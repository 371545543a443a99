//! Parser properties: no input causes a panic, and printed statements parse back.

use std::net::SocketAddr;
use std::time::Duration;

use gingerkeel_domain::catalog::{
    AnswerPolicy, CallerAccount, Change, ClassPolicy, ControlMember, Leaf, LeafState, MemberState,
    Placement,
};
use gingerkeel_domain::crash_suspects::RequestDigest;
use gingerkeel_domain::identifiers::{
    BrokerName, CallerName, ClassName, ControlName, IndexVersion, LeafId, RegionName, Revision,
    ServiceName, ShardId, SoftwareVersion, ZoneName,
};
use gingerkeel_domain::rollout::{ExposureLimit, RolloutOrder};
use gingerkeel_statement::{Statement, Subject, parse};
use proptest::prelude::*;

/// Names, including names that are also keywords.
fn name() -> impl Strategy<Value = String> {
    prop_oneof!["[A-Za-z][A-Za-z0-9_-]{0,20}", "(OF|of|To|AT|LEAF|REVISION|FULL|SHARDS)"]
}

fn service() -> impl Strategy<Value = ServiceName> {
    name().prop_map(ServiceName::new)
}

fn class() -> impl Strategy<Value = ClassName> {
    name().prop_map(ClassName::new)
}

fn leaf_id() -> impl Strategy<Value = LeafId> {
    any::<u32>().prop_map(LeafId)
}

fn address() -> impl Strategy<Value = SocketAddr> {
    any::<(std::net::IpAddr, u16)>().prop_map(SocketAddr::from)
}

fn placement() -> impl Strategy<Value = Placement> {
    (name(), name()).prop_map(|(region, zone)| Placement {
        region: RegionName::new(region),
        zone: ZoneName::new(zone),
    })
}

fn leaf_state() -> impl Strategy<Value = LeafState> {
    prop_oneof![Just(LeafState::Active), Just(LeafState::Draining)]
}

fn member_state() -> impl Strategy<Value = MemberState> {
    prop_oneof![Just(MemberState::Active), Just(MemberState::Draining)]
}

fn span() -> impl Strategy<Value = Duration> {
    any::<u32>().prop_map(|milliseconds| Duration::from_millis(milliseconds.into()))
}

fn answer_policy() -> impl Strategy<Value = AnswerPolicy> {
    let partial = span().prop_map(|soft_deadline| AnswerPolicy::Partial { soft_deadline });
    prop_oneof![Just(AnswerPolicy::Full), partial]
}

fn class_policy() -> impl Strategy<Value = ClassPolicy> {
    (class(), any::<(u8, u32, u64)>(), answer_policy(), span()).prop_map(
        |(name, (priority, queue_limit, price), answer_policy, default_deadline)| ClassPolicy {
            name,
            priority,
            queue_limit,
            price,
            answer_policy,
            default_deadline,
        },
    )
}

fn leaf() -> impl Strategy<Value = Leaf> {
    (leaf_id(), address(), placement(), any::<(u32, u32)>()).prop_map(
        |(id, address, placement, (slots, connection_limit))| Leaf {
            id,
            address,
            placement,
            slots,
            connection_limit,
            state: LeafState::Active,
        },
    )
}

fn control() -> impl Strategy<Value = ControlMember> {
    (name(), address(), placement()).prop_map(|(name, address, placement)| ControlMember {
        name: ControlName::new(name),
        address,
        placement,
        state: MemberState::Active,
    })
}

fn service_change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (service(), any::<u32>())
            .prop_map(|(service, concurrency)| Change::DefineService { service, concurrency }),
        (service(), class_policy())
            .prop_map(|(service, policy)| Change::DefineClass { service, policy }),
        (service(), any::<u32>(), prop::collection::vec(leaf_id(), 1..5)).prop_map(
            |(service, shard, leaves)| Change::AssignShard {
                service,
                shard: ShardId(shard),
                leaves
            }
        ),
        (service(), any::<u32>())
            .prop_map(|(service, shards)| Change::Repartition { service, shards }),
        (service(), any::<u64>()).prop_map(|(service, version)| Change::PublishVersion {
            service,
            version: IndexVersion(version)
        }),
        service().prop_map(Change::RemoveService),
        (service(), class()).prop_map(|(service, class)| Change::RemoveClass { service, class }),
        (service(), class(), any::<u64>()).prop_map(|(service, class, price)| Change::SetPrice {
            service,
            class,
            price
        }),
    ]
}

fn machine_change() -> impl Strategy<Value = Change> {
    let broker = || name().prop_map(BrokerName::new);
    let control_name = || name().prop_map(ControlName::new);
    prop_oneof![
        leaf().prop_map(Change::AddLeaf),
        (leaf_id(), leaf_state()).prop_map(|(leaf, state)| Change::SetLeafState { leaf, state }),
        leaf_id().prop_map(Change::RemoveLeaf),
        broker().prop_map(|broker| Change::AddBroker { broker }),
        (broker(), member_state())
            .prop_map(|(broker, state)| Change::SetBrokerState { broker, state }),
        broker().prop_map(Change::RemoveBroker),
        control().prop_map(Change::AddControl),
        (control_name(), member_state())
            .prop_map(|(control, state)| Change::SetControlState { control, state }),
        control_name().prop_map(Change::RemoveControl),
        name().prop_map(|zone| Change::EvacuateZone(ZoneName::new(zone))),
        name().prop_map(|zone| Change::RestoreZone(ZoneName::new(zone))),
        any::<u64>().prop_map(|digest| Change::ReleaseRequest(RequestDigest(digest))),
        (name(), name(), any::<u32>()).prop_map(|(service, version, duration_ms)| {
            Change::BeginRollout(RolloutOrder {
                service: ServiceName::new(service),
                target: SoftwareVersion::new(version),
                duration_ms: duration_ms.into(),
                limit: ExposureLimit::default(),
                ordered_at_ms: 0,
            })
        }),
    ]
}

fn caller_change() -> impl Strategy<Value = Change> {
    prop_oneof![
        (name(), any::<(u64, u64)>()).prop_map(|(caller, (budget_per_second, burst))| {
            let account = CallerAccount { budget_per_second, burst };
            Change::DefineCaller { caller: CallerName::new(caller), account }
        }),
        name().prop_map(|caller| Change::RemoveCaller(CallerName::new(caller))),
    ]
}

fn subject() -> impl Strategy<Value = Subject> {
    let optional_service = || prop::option::of(service());
    prop_oneof![
        Just(Subject::Services),
        Just(Subject::Leaves),
        Just(Subject::Callers),
        Just(Subject::Brokers),
        Just(Subject::Controls),
        Just(Subject::Status),
        Just(Subject::Revision),
        Just(Subject::Changes),
        Just(Subject::Routes),
        Just(Subject::Tenants),
        Just(Subject::Directory),
        Just(Subject::Zones),
        Just(Subject::Rollouts),
        Just(Subject::RefusedRequests),
        optional_service().prop_map(Subject::Classes),
        optional_service().prop_map(Subject::Shards),
        optional_service().prop_map(Subject::Versions),
        prop::option::of(name().prop_map(CallerName::new)).prop_map(Subject::Charges),
    ]
}

fn statement() -> impl Strategy<Value = Statement> {
    let change = prop_oneof![service_change(), machine_change(), caller_change()];
    let based_on = prop::option::of(any::<u64>().prop_map(Revision));
    prop_oneof![
        1 => subject().prop_map(Statement::Show),
        4 => (change, based_on)
            .prop_map(|(change, based_on)| Statement::Change { change, based_on }),
    ]
}

/// Keywords, numbers and arbitrary text in random order.
fn random_words() -> impl Strategy<Value = String> {
    let word = prop_oneof![
        "(SHOW|DRAIN|ADD|SET|LEAF|BROKER|CONTROL|OF|TO|AT|REVISION|PRICE|SHARD|;|,|--)",
        "[0-9]{1,25}",
        "\\PC{0,8}",
    ];
    prop::collection::vec(word, 0..12).prop_map(|words| words.join(" "))
}

proptest! {
    #[test]
    fn parsing_any_text_never_panics(text in "\\PC{0,200}") {
        let _ = parse(&text);
    }

    #[test]
    fn error_positions_lie_within_the_text(text in random_words()) {
        if let Err(error) = parse(&text)
            && let Some((line, _)) = error.place()
        {
            prop_assert!(line <= text.lines().count().max(1) + 1);
        }
    }

    #[test]
    fn printed_statements_parse_back(statements in prop::collection::vec(statement(), 1..5)) {
        let printed: Vec<String> = statements.iter().map(Statement::to_string).collect();
        prop_assert_eq!(parse(&printed.join(";\n")), Ok(statements));
    }
}
