"""Codec of messages from control processes to proxies and poolers."""

from __future__ import annotations

from jackdawpost.core.messages import control
from jackdawpost.wire.codec import FrameCodec

PROXY_PATH = '/v1/proxy'

CONTROL_CODEC = FrameCodec(
    control.NotLeader,
    control.LeaseGrant,
    control.LeaseRevoke,
    control.StateUpdate,
    control.PermitGrant,
    control.PermitRecall,
    control.ApprovalRequest,
    control.UpstreamAction,
    control.PositionRequest,
    control.RateGrant,
    accepts_compressed=True,
)
