import type * as z from 'zod';
import type {gatewaySettingsSchema} from './gateway-settings-schema.ts';

/**
Settings of a gateway node.
*/
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
