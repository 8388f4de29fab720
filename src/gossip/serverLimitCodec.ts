/** Encodes and decodes the limits that backend servers name, in gossip datagrams. */
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {NamedLimit} from '../controllers/placement/index.js';
import type {
  ServerLimit,
  ServerLimitSchema,
} from '../peer/generated/buckthorn/gossip/v1/gossip_pb.js';

/** Encodes a limit. */
export function toServerLimit(limit: NamedLimit): MessageInitShape<typeof ServerLimitSchema> {
  const {serverKey, perSecond, namedAtMs, endedAtMs} = limit;
  return {
    serverKey,
    perSecond,
    namedAtMs: BigInt(Math.round(namedAtMs)),
    endedAtMs: BigInt(Math.round(endedAtMs)),
  };
}

/** Decodes a limit. */
export function fromServerLimit(message: ServerLimit): NamedLimit {
  const {serverKey, perSecond, namedAtMs, endedAtMs} = message;
  return {
    serverKey,
    perSecond,
    namedAtMs: Number(namedAtMs),
    endedAtMs: Number(endedAtMs),
  };
}
