import {z} from 'zod';

export const engineOrderSchema = z.object({
  orderId: z.string().min(1),
  kind: z.enum(['load', 'unload', 'set-role']),
  artifact: z.string().default(''),
  bytes: z.number().min(0).default(0),
  role: z.string().default(''),
  fencing: z.number().default(0),
});

export type EngineOrder = z.infer<typeof engineOrderSchema>;
export type EngineOrderInput = z.input<typeof engineOrderSchema>;

export interface OrderAnswer {
  orderId: string;
  accepted: true;
  /** The engine's own clock. */
  receivedAtMs: number;
}
