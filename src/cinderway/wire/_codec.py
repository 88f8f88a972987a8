"""Encode typed messages as Cap'n Proto and decode them."""

from dataclasses import dataclass
from functools import cached_property
from pathlib import Path
from typing import Any, get_args, get_origin

import capnp
import msgspec

from cinderway._errors import CinderwayError, ErrorCode, Step

capnp.remove_import_hook()

SCHEMA_FOLDER = Path(__file__).parent / "schemas"
# Cap'n Proto's limit on the words that a reader may traverse, which guards against
# amplification: 512 MiB, twice the largest frame.
TRAVERSAL_LIMIT_WORDS = 64 * 1024 * 1024
# The schema field that holds a packed message.
PACKED_FIELD = "packed"


class Message(msgspec.Struct, frozen=True, rename="camel"):
    """Base of all messages: immutable, with Cap'n Proto's camel-case field names."""


class PackedRow(msgspec.Struct, frozen=True, array_like=True, rename="camel"):
    """Base of rows in a packed message: values are encoded by position, not by name."""


class PackedMessage(Message, frozen=True, array_like=True):
    """A message that is encoded as MessagePack in the `packed` field of its frame.

    For lists that are sent many times a second: encoding and decoding take a tenth of
    the time. The other fields in its schema are those that earlier builds sent; they
    are read if `packed` is empty.
    """


@dataclass(frozen=True)
class Envelope:
    """A message with the id that matches an answer to its call; 0 means one-way."""

    call_id: int
    message: Message


class Conversation:
    """A protocol: a schema file and the message type of each arm of its `Frame` union.

    The schema is loaded at run time, on first use. An arm's name is the name of the
    message type with a lower-case first letter.
    """

    def __init__(self, name: str, version: int, message_types: tuple[type, ...]):
        self.name = name
        self.version = version
        self._types_by_arm = {_get_arm(kind): kind for kind in message_types}

    @cached_property
    def _frame_schema(self):
        return capnp.load(str(SCHEMA_FOLDER / f"{self.name}.capnp")).Frame

    def encode(self, message: Message, call_id: int = 0) -> bytes:
        """Encode a message of this conversation as the payload of a frame."""
        if isinstance(message, PackedMessage):
            fields = {PACKED_FIELD: msgspec.msgpack.encode(message)}
        else:
            fields = msgspec.to_builtins(message, builtin_types=(bytes,))
        frame = self._frame_schema.new_message(
            callId=call_id, **{_get_arm(type(message)): fields}
        )
        return frame.to_bytes()

    def decode(self, payload: bytes, *, peer: str) -> Envelope:
        """Decode the payload of a frame.

        Raises CinderwayError with FRAME_INVALID if the payload is not a message of this
        conversation.
        """
        try:
            with self._frame_schema.from_bytes(
                payload, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
            ) as frame:
                arm = frame.which()
                call_id = frame.callId
                message = self._decode_message(getattr(frame, arm), str(arm))
        except (capnp.KjException, KeyError, ValueError, msgspec.MsgspecError) as error:
            raise CinderwayError(
                ErrorCode.FRAME_INVALID,
                f"frame of {len(payload)} bytes is not a {self.name} message: {error}",
                step=Step.RECEIVE,
                peer=peer,
            ) from error
        return Envelope(call_id, message)

    def _decode_message(self, content, arm: str) -> Message:
        kind = self._types_by_arm[arm]
        if issubclass(kind, PackedMessage) and content.packed:
            return msgspec.msgpack.decode(content.packed, type=kind)
        fields = content.to_dict()
        if issubclass(kind, PackedMessage):
            return _decode_by_name(fields, kind)
        return msgspec.convert(fields, kind, builtin_types=(bytes,))


def _decode_by_name(value: Any, kind: Any) -> Any:
    """Decode a packed message, or a part of one, as earlier builds sent it."""
    if get_origin(kind) is list:
        (item_kind,) = get_args(kind)
        return [_decode_by_name(item, item_kind) for item in value]
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return kind(
            **{
                field.name: _decode_by_name(value[field.encode_name], field.type)
                for field in msgspec.structs.fields(kind)
                # Added after the builds that sent messages by name.
                if field.required or field.encode_name in value
            }
        )
    return msgspec.convert(value, kind, builtin_types=(bytes,))


def _get_arm(message_type: type) -> str:
    name = message_type.__name__
    return name[0].lower() + name[1:]
