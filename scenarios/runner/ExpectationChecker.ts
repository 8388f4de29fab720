/** Dispatches the expectations of a scenario to their checks. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {RunEntry} from '../../standins/index.js';
import type {Expectation} from '../language/index.js';
import {checkAbuse, checkSpies} from './AbuseExpectations.js';
import {checkCachedPercent, checkRecomputed} from './CacheExpectations.js';
import {
  checkAnsweredPercent,
  checkAnswers,
  checkNotRun,
  checkRepeats,
  checkRuns,
  type Violations,
} from './CallExpectations.js';
import {checkInForce, checkRace} from './ConfigurationExpectations.js';
import {selectRuns} from './Evidence.js';
import {checkFencing} from './FleetExpectations.js';
import {readLedgers} from './LedgerReader.js';
import {checkLoadQueue} from './LoadQueueExpectation.js';
import {readPlatformLedgers} from './PlatformLedgers.js';
import type {ScenarioWorld} from './ScenarioWorld.js';

type ExpectationName = keyof Expectation;
type FieldsOf<Name extends ExpectationName> = NonNullable<Expectation[Name]>;
type Checks = {
  readonly [Name in ExpectationName]-?: (
    fields: FieldsOf<Name>,
  ) => Violations | Promise<Violations>;
};

/** Result of an expectation; it is met if there are no violations. */
export interface ExpectationResult {
  readonly name: string;
  readonly violations: Violations;
}

const POLL_MS = 100;
const PERCENT = 100;

/** Checks expectations against the ledgers of the stand-ins and the records of the callers. */
export class ExpectationChecker {
  private readonly world: ScenarioWorld;
  private runs: readonly RunEntry[] = [];
  private readonly checks: Checks = {
    answersAreWhole: ({load, mayBeRefused}) => checkAnswers(this.getRecords(load), mayBeRefused),
    runsAtMostOnce: ({load}) => checkRuns(this.getRecords(load), this.runs),
    notRunIsTrue: ({load}) => checkNotRun(this.getRecords(load), this.runs),
    repeatsGetSameAnswer: ({load, minAnsweredPercent}) =>
      checkRepeats(this.getRecords(load), minAnsweredPercent),
    answeredPercent: ({load, min}) => checkAnsweredPercent(this.getRecords(load), min),
    noNewWork: fields => this.checkNoNewWork(fields),
    newWork: fields => this.checkNewWork(fields),
    coldLoad: fields => this.checkColdLoad(fields),
    crashes: ({max}) => this.checkCrashes(max),
    versionShare: fields => this.checkVersionShare(fields),
    moveEnds: fields => this.waitForMove(fields),
    configurationInForce: ({withinMs}) => checkInForce(this.world, withinMs),
    oneOperatorWins: () => checkRace(this.world.getOperators().getPublications()),
    exitsGracefully: ({instance}) => this.checkExit(instance),
    ordersAreFenced: async ({minHolders}) =>
      checkFencing(await readPlatformLedgers(this.world.deployment), minHolders),
    cachedPercent: ({service, after, min}) =>
      checkCachedPercent(this.getRunsAfter(service, after), min),
    recomputesLess: fields => checkRecomputed(this.runs, fields),
    loadsAreQueued: async bound =>
      checkLoadQueue(
        await readPlatformLedgers(this.world.deployment),
        this.getQueuedServices(),
        bound,
      ),
    abuseIsRefused: () => checkAbuse(this.world.getAbuseRecords(), this.runs),
    spiesGetNothing: () => checkSpies(this.world.getSpyRecords()),
  };

  constructor(world: ScenarioWorld) {
    this.world = world;
  }

  /** Checks one expectation against the current ledgers. */
  async check(expectation: Expectation): Promise<ExpectationResult> {
    const [name] = Object.keys(expectation) as readonly ExpectationName[];
    this.runs = await readLedgers(this.world.folder);
    // The parser has checked that the only key is an expectation name with valid fields.
    const run = this.checks[name] as (fields: unknown) => Violations | Promise<Violations>;
    const fields = expectation[name];
    return {name: `${name} ${JSON.stringify(fields)}`, violations: await run(fields)};
  }

  /** Returns the calls of a load; throws if there are none, since every expectation about them would be met. */
  private getRecords(load: string) {
    const records = this.world.getLoadOrThrow(load).getRecords();
    if (records.length === 0) throw new Error(`load ${load} has no calls`);
    return records;
  }

  private getQueuedServices() {
    return this.world.scenario.topology.services.map(({name, replicas}) => {
      const backends = this.world.getBackends({service: name});
      return {name, replicas, instanceIds: backends.map(({instanceId}) => instanceId)};
    });
  }

  private getRunsAfter(service: string, after: string): readonly RunEntry[] {
    const fromMs = this.world.getStepEndMsOrThrow(after);
    return selectRuns(this.runs, {service}).filter(run => run.startedAtMs > fromMs);
  }

  private checkNoNewWork({after, withinMs, until, ...target}: FieldsOf<'noNewWork'>): Violations {
    const fromMs = this.world.getStepEndMsOrThrow(after) + withinMs;
    const untilMs = until === undefined ? Infinity : this.world.getStepEndMsOrThrow(until);
    const runs = selectRuns(this.runs, target);
    if (!runs.some(({startedAtMs}) => startedAtMs < fromMs))
      return ['the target had no work before'];
    return runs
      .filter(({startedAtMs}) => startedAtMs > fromMs && startedAtMs < untilMs)
      .map(
        ({instanceId, startedAtMs}) =>
          `${instanceId} got work ${startedAtMs - fromMs} ms after the limit`,
      );
  }

  private checkNewWork({after, withinMs, ...target}: FieldsOf<'newWork'>): Violations {
    const fromMs = this.world.getStepEndMsOrThrow(after);
    const hasNewWork = selectRuns(this.runs, target).some(
      ({startedAtMs}) => startedAtMs > fromMs && startedAtMs <= fromMs + withinMs,
    );
    return hasNewWork ? [] : [`no work within ${withinMs} ms after step "${after}"`];
  }

  private checkColdLoad({service, maxOpenRequests}: FieldsOf<'coldLoad'>): Violations {
    const coldRuns = selectRuns(this.runs, {service}).filter(({wasCold}) => wasCold);
    if (coldRuns.length === 0) return ['no cold server got work'];
    return coldRuns
      .filter(({openRequests}) => openRequests > maxOpenRequests)
      .map(run => `${run.instanceId} was cold with ${run.openRequests} open requests`);
  }

  private checkCrashes(max: number): Violations {
    const crashed = this.world.getCrashedIds();
    return crashed.length > max ? [`crashed: ${crashed.join(', ')}`] : [];
  }

  private checkVersionShare(fields: FieldsOf<'versionShare'>): Violations {
    const {service, version, maxPercent, after} = fields;
    const runs = this.getRunsAfter(service, after);
    const versionRunCount = selectRuns(runs, {version}).length;
    const percent = (versionRunCount / Math.max(runs.length, 1)) * PERCENT;
    return percent > maxPercent ? [`${version} got ${versionRunCount} of ${runs.length} runs`] : [];
  }

  private async waitForMove({service, phase, withinMs}: FieldsOf<'moveEnds'>): Promise<Violations> {
    const endAtMs = Date.now() + withinMs;
    for (;;) {
      const moves = await this.world.getOperators().getMoves();
      const move = moves.find(item => item.service === service);
      if (move?.phase === phase) return [];
      if (Date.now() > endAtMs)
        return [`the move of ${service} is in phase ${move?.phase ?? 'unknown'}`];
      await sleep(POLL_MS);
    }
  }

  private checkExit(instance: string): Violations {
    const exitCode = this.world.deployment.getProcessOrThrow(instance).getExitCode();
    return exitCode === 0
      ? []
      : [`${instance} ended with exit code ${exitCode ?? 'none (signal, or still running)'}`];
  }
}
