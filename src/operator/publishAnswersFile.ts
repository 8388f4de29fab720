/** Generates a configuration from an answers file and publishes it without asking for confirmation. */
import {randomBytes} from 'node:crypto';
import {ServingError} from '../errors/index.js';
import type {LogAccess} from '../log/index.js';
import {generateConfiguration, readAnswersFile, type GeneratedKey} from '../questionnaire/index.js';
import {ConfigurationStream, type PublishResult} from './ConfigurationStream.js';

/** Options of `publishAnswersFile`. */
export interface PublishAnswersOptions {
  /** Path of the answers file, in YAML or JSON. */
  readonly answersPath: string;
  readonly log: LogAccess;
  /** Writer id of this process; unique among all processes that ever write to the log. */
  readonly writer: string;
  /** Name of the operator; shown to another operator whose publication conflicts. */
  readonly publishedBy: string;
  /** Returns Unix time in milliseconds. */
  readonly getNowMs: () => number;
  /** Time limit of each log operation. */
  readonly timeoutMs: number;
}

/** Result of publishing a configuration that was accepted. */
export interface PublishedAnswers extends PublishResult {
  /** New bearer keys in plain text; the configuration stores only their hashes. */
  readonly generatedKeys: readonly GeneratedKey[];
}

const KEY_BYTES = 32;

/** Returns a new bearer key: 256 random bits in base64url. */
export function createWorkspaceKey(): string {
  return randomBytes(KEY_BYTES).toString('base64url');
}

/**
 * Reads an answers file, generates a configuration from it and publishes that in place of the configuration in force.
 * @throws ServingError of kind `invalid-settings` if the answers are invalid, `conflict` if another operator published
 *     in the meantime, or `log-unavailable`.
 */
export async function publishAnswersFile(
  options: PublishAnswersOptions,
): Promise<PublishedAnswers> {
  const {answersPath, log, writer, publishedBy, getNowMs, timeoutMs} = options;
  const answers = await readAnswersFile(answersPath, getNowMs());
  const stream = new ConfigurationStream({log, writer, getNowMs, timeoutMs});
  try {
    await stream.open();
    const inForce = stream.getInForce();
    const {configuration, generatedKeys} = generateConfiguration(answers, {
      inForce: inForce.configuration,
      createKey: createWorkspaceKey,
    });
    const result = await stream.publish(configuration, inForce.revision, publishedBy);
    throwUnlessAccepted(result, inForce.revision);
    return {...result, generatedKeys};
  } finally {
    await stream.close();
  }
}

/**
 * Throws if a configuration was rejected because another operator published first.
 * @param result - Result of the publication.
 * @param replacesRevision - Revision that the publication expected to be in force.
 * @throws ServingError of kind `conflict` that names the operator whose configuration is in force.
 */
export function throwUnlessAccepted(result: PublishResult, replacesRevision: number): void {
  if (result.isAccepted) return;
  const {offset, revision, publishedBy} = result;
  throw new ServingError(
    `refused at offset ${offset}: it replaces revision ${replacesRevision}, but revision ${revision} by ` +
      `"${publishedBy}" is in force; compare the two and publish again`,
    {kind: 'conflict'},
  );
}
