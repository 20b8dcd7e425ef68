/** The zones in which nothing may start, as an instance passes them to a peer. */
import {z} from 'zod';

/** The evacuated zones that the sender knows. */
export const evacuatedZonesSchema = z.object({
  /** Revision of the platform's store at which exactly these were evacuated. */
  revision: z.number(),
  zones: z.array(z.string()).readonly(),
});
