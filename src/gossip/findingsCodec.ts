/** Encodes and decodes the crashes of backend servers in gossip datagrams. */
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {CrashReport, Survival} from '../controllers/quarantine/index.js';
import type {
  Crash,
  CrashSchema,
  Survival as SurvivalMessage,
  SurvivalSchema,
} from '../peer/generated/buckthorn/gossip/v1/gossip_pb.js';

/** Encodes a crash. */
export function toCrash(crash: CrashReport): MessageInitShape<typeof CrashSchema> {
  return {
    ...crash,
    crashedAtMs: BigInt(Math.round(crash.crashedAtMs)),
    suspects: [...crash.suspects],
  };
}

/** Decodes a crash. */
export function fromCrash(message: Crash): CrashReport {
  const {serverKey, failureDomain, crashedAtMs, suspects} = message;
  return {serverKey, failureDomain, crashedAtMs: Number(crashedAtMs), suspects};
}

/** Encodes a survival. */
export function toSurvival({
  suspect,
  survivedAtMs,
}: Survival): MessageInitShape<typeof SurvivalSchema> {
  return {suspect, survivedAtMs: BigInt(Math.round(survivedAtMs))};
}

/** Decodes a survival. */
export function fromSurvival({suspect, survivedAtMs}: SurvivalMessage): Survival {
  return {suspect, survivedAtMs: Number(survivedAtMs)};
}
