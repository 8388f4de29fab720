/** The blackboard: a daemon's shared in-memory state, written by adapters and read by controllers. */
import type {BlackboardSections, SectionName} from './Sections.js';

/** Called after a section has been replaced, with its new and its previous value. */
export type SectionListener<Name extends SectionName> = (
  current: BlackboardSections[Name],
  previous: BlackboardSections[Name],
) => void;

const EMPTY_SECTIONS: BlackboardSections = {
  configuration: {revision: 0, configuration: undefined, confirmedAtMs: 0},
  instances: {instances: [], readAtMs: 0},
  backendServers: {servers: []},
  peers: {members: []},
  failureDomains: {domains: []},
  moves: {moves: []},
  incidents: {incidents: []},
  lease: {holder: undefined, fencingToken: 0, termMs: 0, renewalReadAtMs: 0},
  evidence: {windows: []},
};

/** Holds one immutable value per section and notifies listeners when a value is replaced. */
export class Blackboard {
  private sections: BlackboardSections = EMPTY_SECTIONS;
  private readonly listeners = new Map<SectionName, Set<SectionListener<never>>>();

  /** Returns a consistent snapshot of all sections, which later replacements don't change. */
  getSections(): BlackboardSections {
    return this.sections;
  }

  /** Returns the current value of a section. */
  getSection<Name extends SectionName>(name: Name): BlackboardSections[Name] {
    return this.sections[name];
  }

  /**
   * Replaces a section and calls its listeners synchronously. Each section has a single writer.
   * @param name - Section to replace.
   * @param value - New value, which must not be mutated afterwards; if it is the current object, no listener is called.
   */
  setSection<Name extends SectionName>(name: Name, value: BlackboardSections[Name]): void {
    const previous = this.sections[name];
    if (previous === value) return;
    this.sections = {...this.sections, [name]: value};
    for (const listener of this.listeners.get(name) ?? []) {
      (listener as unknown as SectionListener<Name>)(value, previous);
    }
  }

  /**
   * Subscribes to replacements of a section.
   * @returns A function that ends the subscription.
   */
  addListener<Name extends SectionName>(name: Name, listener: SectionListener<Name>): () => void {
    const listeners = this.listeners.get(name) ?? new Set();
    this.listeners.set(name, listeners);
    listeners.add(listener as SectionListener<never>);
    return () => void listeners.delete(listener as SectionListener<never>);
  }
}
