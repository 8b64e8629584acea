"""Decisions about which configuration bundle is in force."""

from collections.abc import Callable
from typing import Any

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.bundles import codec
from knapweedtally.core.bundles import rules
from knapweedtally.core.bundles import signatures
from knapweedtally.core.bundles import state as bundles_state
from knapweedtally.core.explanations import decisions as explanations

PART = "bundles"
KIND = "bundle"
NAME = "current"

Effects = list[effects.Effect]


def handle_object_seen(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.ObjectSeen,
) -> Effects:
    """Evaluate the bundle that is stored in the platform."""
    if (event.kind, event.name) != (KIND, NAME) or event.version == 0:
        return []
    return consider_bundle(state, moment, event.value, "platform")


def handle_register_seen(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.RegisterSeen,
) -> Effects:
    """Evaluate a bundle that a peer sent."""
    register = event.register
    if (register.kind, register.name) != (KIND, NAME):
        return []
    return consider_bundle(state, moment, register.value, "peers")


def consider_bundle(
    state: state_module.ProxyState,
    moment: model.Moment,
    value: dict[str, Any],
    source: str,
) -> Effects:
    """Put a bundle in force, refuse it or ignore it.

    Args:
        state: state of the proxy.
        moment: time of the decision.
        value: plain form of the bundle.
        source: origin of the bundle, for logs and decision records.
    """
    try:
        candidate = codec.parse_bundle(value)
    except codec.MalformedBundleError as error:
        candidate = model.Bundle(0, codec.compute_fallback_digest(value), {})
        return _refuse_bundle(
            state, moment, candidate, f"malformed: {error}", source
        )
    relation = rules.compare_bundles(candidate, state.directory.bundle)
    handler = _RELATION_HANDLERS[relation]
    return handler(state, moment, candidate, value, source)


def _ignore_bundle(
    state: state_module.ProxyState,
    moment: model.Moment,
    candidate: model.Bundle,
    value: dict[str, Any],
    source: str,
) -> Effects:
    return []


def _refuse_conflicting(
    state: state_module.ProxyState,
    moment: model.Moment,
    candidate: model.Bundle,
    value: dict[str, Any],
    source: str,
) -> Effects:
    reason = f"version {candidate.version} is in force with another digest"
    return _refuse_bundle(state, moment, candidate, reason, source)


def _accept_if_signed(
    state: state_module.ProxyState,
    moment: model.Moment,
    candidate: model.Bundle,
    value: dict[str, Any],
    source: str,
) -> Effects:
    reason = signatures.verify_signature(value, state.bundles.keys)
    if reason:
        return _refuse_bundle(state, moment, candidate, reason, source)
    return _put_in_force(state, moment, candidate, value, source)


_RELATION_HANDLERS: dict[rules.BundleRelation, Callable[..., Effects]] = {
    rules.BundleRelation.OLDER: _ignore_bundle,
    rules.BundleRelation.SAME: _ignore_bundle,
    rules.BundleRelation.CONFLICTING: _refuse_conflicting,
    rules.BundleRelation.NEWER: _accept_if_signed,
}


def _put_in_force(
    state: state_module.ProxyState,
    moment: model.Moment,
    bundle: model.Bundle,
    value: dict[str, Any],
    source: str,
) -> Effects:
    plain = codec.pick_bundle_keys(value)
    state.bundles.value = plain
    state.directory.set_bundle(bundle)
    evidence = _describe_bundle(bundle, source)
    decision = explanations.record_decision(
        state,
        moment,
        PART,
        _get_subject(bundle),
        "in force",
        "signed by a known operator and newer than the one before",
        **evidence,
    )
    register = model.Register(KIND, NAME, (bundle.version,), plain)
    return [
        effects.PublishRegister(register),
        effects.WriteLog(
            PART, "info", "bundle in force", {**evidence, "decision": decision}
        ),
    ]


def _refuse_bundle(
    state: state_module.ProxyState,
    moment: model.Moment,
    candidate: model.Bundle,
    reason: str,
    source: str,
) -> Effects:
    if not _record_refusal(state.bundles, candidate):
        return []
    evidence = _describe_bundle(candidate, source)
    decision = explanations.record_decision(
        state,
        moment,
        PART,
        _get_subject(candidate),
        "refused",
        reason,
        "roll out a bundle with a higher version, signed by an operator whose "
        "key is in bundle-keys of every host",
        **evidence,
    )
    values = {**evidence, "reason": reason, "decision": decision}
    return [effects.WriteLog(PART, "warning", "bundle refused", values)]


def _record_refusal(
    bundles: bundles_state.BundlesState, candidate: model.Bundle
) -> bool:
    """Record a refusal and return whether it is new."""
    key = (candidate.version, candidate.digest)
    is_new = key not in bundles.refused
    bundles.refused[key] = None
    bundles.refused.move_to_end(key)
    if len(bundles.refused) > bundles_state.MAX_REMEMBERED_REFUSALS:
        bundles.refused.popitem(last=False)
    return is_new


def _get_subject(bundle: model.Bundle) -> str:
    return f"bundle version {bundle.version}"


def _describe_bundle(bundle: model.Bundle, source: str) -> dict[str, Any]:
    return {
        "version": bundle.version,
        "digest": bundle.digest,
        "signer": bundle.signer,
        "source": source,
    }


HANDLERS: dict[type, Callable[..., Effects]] = {
    events.ObjectSeen: handle_object_seen,
    events.RegisterSeen: handle_register_seen,
}
