/**
 * Settings of the operators' command-line tools.
 *
 * @module
 */
import * as z from "zod";

const IP_AND_PORT = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/;
const MIN_KEY_LENGTH = 16;
const remoteSchema = z.string().regex(IP_AND_PORT, "an ip:port");

/** Schema of the settings of the operators' command-line tools. */
export const operatorSettingsSchema = z.strictObject({
  logAddress: remoteSchema.describe("The platform's log service"),
  instanceListAddress: remoteSchema.describe("The platform's instance list"),
  operatorKey: z.string().min(MIN_KEY_LENGTH)
    .describe("The operator key of the entries' settings"),
  entries: z.array(remoteSchema).default([])
    .describe("Control addresses, for when the instance list is away"),
});

/** Settings of the operators' command-line tools. */
export type OperatorSettings = z.infer<typeof operatorSettingsSchema>;
