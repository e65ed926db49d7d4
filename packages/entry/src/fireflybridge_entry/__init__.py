"""Entry of callers' jobs: routes, submission to the leader, and monitoring of the leader."""

from fireflybridge_entry._codec import CodecError, Peer
from fireflybridge_entry._configuration import (
    Configuration,
    ConfigurationSource,
    Limits,
    Route,
    RouteTable,
)
from fireflybridge_entry._job_scheduler import JobScheduler
from fireflybridge_entry._leader_contacts import LeaderContacts
from fireflybridge_entry._leader_links import LeaderLinks
from fireflybridge_entry._leader_monitor import LeaderLoss, LeaderMonitor
from fireflybridge_entry._peer_service import LateSubmission, PeerService
from fireflybridge_entry._submission import (
    JobSubmitter,
    LocalLeader,
    RemoteLeader,
    SentSubmission,
)

__all__ = [
    "CodecError",
    "Configuration",
    "ConfigurationSource",
    "JobScheduler",
    "JobSubmitter",
    "LateSubmission",
    "LeaderContacts",
    "LeaderLinks",
    "LeaderLoss",
    "LeaderMonitor",
    "Limits",
    "LocalLeader",
    "Peer",
    "PeerService",
    "RemoteLeader",
    "Route",
    "RouteTable",
    "SentSubmission",
]
