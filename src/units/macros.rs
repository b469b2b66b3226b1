//! Macros that define the identifier and quantity newtypes of this module.

/// Defines a text identifier with `Display`, `FromStr` and transparent serde.
macro_rules! text_id {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord,
            serde::Serialize, serde::Deserialize, derive_more::Display,
        )]
        #[serde(transparent)]
        pub struct $name(smol_str::SmolStr);

        impl $name {
            pub fn new(text: impl Into<smol_str::SmolStr>) -> $name {
                $name(text.into())
            }

            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::units::UnitError;

            fn from_str(text: &str) -> Result<$name, crate::units::UnitError> {
                if text.is_empty() {
                    return Err(crate::units::UnitError::Empty(stringify!($name)));
                }
                Ok($name(text.into()))
            }
        }
    };
}

/// Defines an integer quantity with `Display`, `FromStr`, ordering and transparent serde.
macro_rules! quantity {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord,
            serde::Serialize, serde::Deserialize, derive_more::Display,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            pub fn get(self) -> u64 {
                self.0
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::units::UnitError;

            fn from_str(text: &str) -> Result<$name, crate::units::UnitError> {
                text.parse()
                    .map($name)
                    .map_err(|_| crate::units::UnitError::NotANumber(stringify!($name), text.into()))
            }
        }
    };
}

/// Adds saturating arithmetic to a quantity.
macro_rules! saturating_arithmetic {
    ($name:ident) => {
        impl std::ops::Add for $name {
            type Output = $name;

            fn add(self, other: $name) -> $name {
                $name(self.0.saturating_add(other.0))
            }
        }

        impl std::ops::Sub for $name {
            type Output = $name;

            fn sub(self, other: $name) -> $name {
                $name(self.0.saturating_sub(other.0))
            }
        }

        impl std::ops::AddAssign for $name {
            fn add_assign(&mut self, other: $name) {
                *self = *self + other;
            }
        }

        impl std::ops::SubAssign for $name {
            fn sub_assign(&mut self, other: $name) {
                *self = *self - other;
            }
        }

        impl std::iter::Sum for $name {
            fn sum<I: Iterator<Item = $name>>(quantities: I) -> $name {
                quantities.fold($name(0), std::ops::Add::add)
            }
        }
    };
}

pub(crate) use {quantity, saturating_arithmetic, text_id};
