/** One admission gate for each service, since services don't share backend servers. */
import {AdmissionQueue, type AdmissionLimits} from '../controllers/admission/index.js';
import type {AdmissionRequest} from '../controllers/admission/index.js';
import {AdmissionGate} from './AdmissionGate.js';

/** Options of `AdmissionGates`. */
export interface AdmissionGatesOptions {
  /** Returns the limits of a service now. */
  readonly getLimits: (service: string) => AdmissionLimits;
  readonly getNowMs: () => number;
}

/** Opens a gate for a service with its first request. */
export class AdmissionGates {
  private readonly options: AdmissionGatesOptions;
  private readonly gates = new Map<string, AdmissionGate>();

  constructor(options: AdmissionGatesOptions) {
    this.options = options;
  }

  /**
   * Waits until a request may run.
   * @param service - Service that it asks for.
   * @param request - The request.
   * @param signal - Aborted when the caller has gone.
   * @returns A function to call when the request has ended.
   * @throws ServingError where the request is refused or its caller has gone.
   */
  enter(service: string, request: AdmissionRequest, signal: AbortSignal): Promise<() => void> {
    return this.getGate(service).enter(request, signal);
  }

  /** Admits waiting requests where limits have grown. */
  admitWaiting(): void {
    for (const gate of this.gates.values()) gate.admitWaiting();
  }

  private getGate(service: string): AdmissionGate {
    const found = this.gates.get(service);
    if (found) return found;
    const {getLimits, getNowMs} = this.options;
    const queue = new AdmissionQueue({getLimits: () => getLimits(service)});
    const gate = new AdmissionGate({queue, getNowMs});
    this.gates.set(service, gate);
    return gate;
  }
}
