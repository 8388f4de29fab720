/** One admission gate for each service, since services don't share backend servers. */
import {AdmissionQueue, type AdmissionLimits} from '../controllers/admission/index.js';
import type {AdmissionRequest} from '../controllers/admission/index.js';
import {AdmissionGate} from './AdmissionGate.js';

/** Options of `AdmissionGates`. */
export interface AdmissionGatesOptions {
  /** Returns the present admission limits of a service. */
  readonly getLimits: (service: string) => AdmissionLimits;
  readonly getNowMs: () => number;
}

/** Holds the admission gates by service; a gate is created with the first request for its service. */
export class AdmissionGates {
  private readonly options: AdmissionGatesOptions;
  private readonly gates = new Map<string, AdmissionGate>();

  constructor(options: AdmissionGatesOptions) {
    this.options = options;
  }

  /**
   * Waits until the admission queue of a service admits a request.
   * @param service - Name of the requested service.
   * @param request - Request to admit; it waits until its deadline at most.
   * @param signal - Aborted when the caller disconnects.
   * @returns A function to call when the request has ended; it frees the slot for waiting requests.
   * @throws ServingError if the request is refused, displaced or not admitted by its deadline, or if its caller
   * disconnects.
   */
  enter(service: string, request: AdmissionRequest, signal: AbortSignal): Promise<() => void> {
    return this.getGate(service).enter(request, signal);
  }

  /** Admits waiting requests of all services up to their present limits; to be called when limits may have grown. */
  admitQueued(): void {
    for (const gate of this.gates.values()) gate.admitQueued();
  }

  private getGate(service: string): AdmissionGate {
    const existing = this.gates.get(service);
    if (existing) return existing;
    const {getLimits, getNowMs} = this.options;
    const queue = new AdmissionQueue({getLimits: () => getLimits(service)});
    const gate = new AdmissionGate({queue, getNowMs});
    this.gates.set(service, gate);
    return gate;
  }
}
