/** The blackboard: the state that controllers read and adapters fill, section by section. */
import type {BlackboardSections, SectionName} from './Sections.js';

/** Called after a section was replaced. */
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

/** Holds one immutable value a section and tells listeners of replacements. */
export class Blackboard {
  private sections: BlackboardSections = EMPTY_SECTIONS;
  private readonly listeners = new Map<SectionName, Set<SectionListener<never>>>();

  /** Returns all sections as they are now; later replacements don't change the returned value. */
  getSections(): BlackboardSections {
    return this.sections;
  }

  /**
   * Returns a section.
   * @param name - Name of the section.
   */
  getSection<Name extends SectionName>(name: Name): BlackboardSections[Name] {
    return this.sections[name];
  }

  /**
   * Replaces a section and calls its listeners. A section has one writer.
   * @param name - Name of the section.
   * @param value - The new value.
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
   * Calls a listener after each replacement of a section.
   * @param name - Name of the section.
   * @param listener - What to call.
   * @returns A function that ends the subscription.
   */
  addListener<Name extends SectionName>(name: Name, listener: SectionListener<Name>): () => void {
    const listeners = this.listeners.get(name) ?? new Set();
    this.listeners.set(name, listeners);
    listeners.add(listener as SectionListener<never>);
    return () => void listeners.delete(listener as SectionListener<never>);
  }
}
