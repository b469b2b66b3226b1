use std::str::FromStr;

use derive_more::{Display, Error};
use smol_str::SmolStr;

/// A deployment whose region, zones, size and organisations a fleet takes over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Deployment {
    #[display("association")]
    Association,
    #[display("loomworks")]
    Loomworks,
}

/// Error for a name that is not a deployment.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("expected `association` or `loomworks`, found `{_0}`")]
pub struct UnknownDeployment(#[error(not(source))] SmolStr);

impl FromStr for Deployment {
    type Err = UnknownDeployment;

    fn from_str(text: &str) -> Result<Deployment, UnknownDeployment> {
        match text {
            "association" => Ok(Deployment::Association),
            "loomworks" => Ok(Deployment::Loomworks),
            other => Err(UnknownDeployment(other.into())),
        }
    }
}

impl Deployment {
    pub fn region(self) -> &'static str {
        match self {
            Deployment::Association => "khomas",
            Deployment::Loomworks => "jm-south",
        }
    }

    pub fn zones(self) -> [&'static str; 3] {
        match self {
            Deployment::Association => ["khomas-a", "khomas-b", "khomas-c"],
            Deployment::Loomworks => ["jm-south-a", "jm-south-b", "jm-south-c"],
        }
    }

    /// Numbers of prefill and decode endpoints, which together are the assistant or report servers.
    pub fn engines(self) -> (usize, usize) {
        match self {
            Deployment::Association => (6, 12),
            Deployment::Loomworks => (3, 6),
        }
    }

    /// Number of plain service endpoints: booking or order desk servers.
    pub fn plain_services(self) -> usize {
        3
    }

    pub fn gateways(self) -> usize {
        9
    }

    pub fn organisations(self) -> [&'static str; 5] {
        match self {
            Deployment::Association => {
                ["windhoek-drapers", "okahandja-shows", "rehoboth-shops", "gobabis-fairs", "usakos"]
            }
            Deployment::Loomworks => {
                ["head-office", "mandeville-mill", "negril-looms", "may-pen-yarns", "lucea-desk"]
            }
        }
    }
}
