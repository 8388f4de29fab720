/** Validation of the instances in responses of the cloud API and the instance list. */
import {z} from 'zod';

/** Schema of an instance; `service` and `version` are set for backend servers only. */
export const instanceSchema = z.object({
  instanceId: z.string(),
  role: z.enum(['entry', 'fleet', 'backend']),
  address: z.string(),
  port: z.number().int(),
  peerPort: z.number().int().optional(),
  failureDomain: z.string(),
  machineClass: z.string(),
  market: z.enum(['reclaimable', 'on-demand']),
  state: z.enum(['live', 'leaving', 'gone']),
  leavingAtMs: z.number().optional(),
  service: z.string().optional(),
  version: z.string().optional(),
});
