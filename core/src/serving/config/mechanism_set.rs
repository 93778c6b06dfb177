use crate::serving::ServingMechanism;

/// A set of disabled mechanisms; empty by default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MechanismSet {
    bits: u32,
}

impl MechanismSet {
    /// Creates a set of these mechanisms.
    pub fn of(mechanisms: impl IntoIterator<Item = ServingMechanism>) -> Self {
        let bits = mechanisms.into_iter().map(bit);
        MechanismSet {
            bits: bits.fold(0, |all, one| all | one),
        }
    }

    /// Whether a mechanism is in the set.
    pub fn contains(
        self,
        mechanism: ServingMechanism,
    ) -> bool {
        self.bits & bit(mechanism) != 0
    }

    /// Names of the mechanisms in the set, separated by commas.
    pub fn names(self) -> String {
        let members = ServingMechanism::ALL.into_iter();
        let members = members.filter(|mechanism| self.contains(*mechanism));
        let names: Vec<&str> = members.map(ServingMechanism::name).collect();
        names.join(",")
    }
}

fn bit(mechanism: ServingMechanism) -> u32 {
    1 << mechanism as u32
}
