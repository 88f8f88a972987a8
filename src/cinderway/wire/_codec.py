"""Turn typed messages into Cap'n Proto bytes and back."""

from dataclasses import dataclass
from functools import cached_property
from pathlib import Path
from typing import Any, get_args, get_origin

import capnp
import msgspec

from cinderway._errors import CinderwayError, ErrorCode, Step

capnp.remove_import_hook()

SCHEMA_FOLDER = Path(__file__).parent / "schemas"
# A reader may not walk more words than a frame could honestly hold.
TRAVERSAL_LIMIT_WORDS = 64 * 1024 * 1024
# The field of a schema that holds a packed message.
PACKED = "packed"


class Message(msgspec.Struct, frozen=True, rename="camel"):
    """Base of all messages: immutable, with Cap'n Proto's field names on the wire."""


class PackedRow(msgspec.Struct, frozen=True, array_like=True, rename="camel"):
    """Base of rows in a packed message: their values travel without names."""


class PackedMessage(Message, frozen=True, array_like=True):
    """A message that travels as MessagePack in the `packed` field of its frame.

    For lists that are sent many times a second: it is read and written in a tenth of
    the time. The other fields in its schema are those of builds before; they are read
    where `packed` is empty.
    """


@dataclass(frozen=True)
class Envelope:
    """A message with the number that ties an answer to its call; 0 is one-way."""

    call_id: int
    message: Message


class Conversation:
    """A schema file and the message type for each arm of its `Frame` union.

    The schema is loaded on first use, at run time. An arm's name is the name of
    the message type with a lower-case first letter.
    """

    def __init__(self, name: str, version: int, message_types: tuple[type, ...]):
        self.name = name
        self.version = version
        self._types_by_arm = {_arm_of(kind): kind for kind in message_types}

    @cached_property
    def _frame_schema(self):
        return capnp.load(str(SCHEMA_FOLDER / f"{self.name}.capnp")).Frame

    def encode(self, message: Message, call_id: int = 0) -> bytes:
        """Return the frame's payload for a message of this conversation."""
        if isinstance(message, PackedMessage):
            fields = {PACKED: msgspec.msgpack.encode(message)}
        else:
            fields = msgspec.to_builtins(message, builtin_types=(bytes,))
        frame = self._frame_schema.new_message(
            callId=call_id, **{_arm_of(type(message)): fields}
        )
        return frame.to_bytes()

    def decode(self, payload: bytes, *, peer: str) -> Envelope:
        """Return the envelope that a payload holds.

        Raises CinderwayError with FRAME_INVALID when the payload cannot be read
        as a message of this conversation.
        """
        try:
            with self._frame_schema.from_bytes(
                payload, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
            ) as frame:
                arm = frame.which()
                call_id = frame.callId
                message = self._message_in(getattr(frame, arm), str(arm))
        except (capnp.KjException, KeyError, ValueError, msgspec.MsgspecError) as error:
            raise CinderwayError(
                ErrorCode.FRAME_INVALID,
                f"a frame of {len(payload)} bytes is no {self.name} message: {error}",
                step=Step.RECEIVE,
                peer=peer,
            ) from error
        return Envelope(call_id, message)

    def _message_in(self, content, arm: str) -> Message:
        kind = self._types_by_arm[arm]
        if issubclass(kind, PackedMessage) and content.packed:
            return msgspec.msgpack.decode(content.packed, type=kind)
        fields = content.to_dict()
        if issubclass(kind, PackedMessage):
            return _read_by_name(fields, kind)
        return msgspec.convert(fields, kind, builtin_types=(bytes,))


def _read_by_name(value: Any, kind: Any) -> Any:
    """Return a packed message, or a part of it, as builds before sent it."""
    if get_origin(kind) is list:
        (item_kind,) = get_args(kind)
        return [_read_by_name(item, item_kind) for item in value]
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return kind(
            **{
                field.name: _read_by_name(value[field.encode_name], field.type)
                for field in msgspec.structs.fields(kind)
            }
        )
    return msgspec.convert(value, kind, builtin_types=(bytes,))


def _arm_of(message_type: type) -> str:
    name = message_type.__name__
    return name[0].lower() + name[1:]
