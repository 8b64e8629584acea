"""Parse, format and order the records of groups."""

from knapweedtally.core import model


def parse_record(
    version: int, value: dict[str, object]
) -> model.GroupRecord | None:
    """Parse the value of a platform object; return None if malformed.

    Args:
        version: version of the platform's object.
        value: ``{"term", "phase", "primary", "operation", "preferred"}``.
    """
    term = value.get("term")
    if not isinstance(term, int) or isinstance(term, bool) or term < 0:
        return None
    try:
        phase = model.Phase(value.get("phase"))
    except ValueError:
        return None
    primary = str(value.get("primary") or "")
    if phase is model.Phase.OPEN and not primary:
        return None
    return model.GroupRecord(
        version,
        term,
        phase,
        primary,
        str(value.get("operation") or ""),
        str(value.get("preferred") or ""),
    )


def format_value(record: model.GroupRecord) -> dict[str, object]:
    """Return the value of the platform object for a record."""
    return {
        "term": record.term,
        "phase": record.phase.value,
        "primary": record.primary,
        "operation": record.operation,
        "preferred": record.preferred,
    }


def get_sort_key(record: model.GroupRecord) -> tuple[int, int, int]:
    """Return the sort key of a record; a newer record has a larger key."""
    is_open = record.phase is model.Phase.OPEN
    return record.term, int(is_open), record.version


def format_register(name: str, record: model.GroupRecord) -> model.Register:
    """Return the register that publishes a record to peers."""
    return model.Register(
        "group", name, get_sort_key(record), format_value(record)
    )


def parse_register(register: model.Register) -> model.GroupRecord | None:
    """Parse the record of a register; return None if malformed."""
    if len(register.version) != 3:
        return None
    return parse_record(register.version[2], register.value)
