package amberroute.sender.journal;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.UUID;

/**
 * The fencing token of a state folder: it names the sender that has taken over the folder's messages. It is created
 * once, atomically and for one successor, and never removed: from then on no process may cause an effect from this
 * folder. It is created by a hard link, which the file system grants to only one of several successors.
 *
 * @param successor name of the sender that takes over
 * @param successorFolder its state folder, as an absolute path
 * @param handoffId identifies the takeover; prefix of its handoff batches
 * @param completed whether nothing is left in the folder to take over
 */
public record FencingToken(String successor, Path successorFolder, String handoffId, boolean completed) {
    private static final String FILE_NAME = "fence";
    private static final int MAX_CHAIN_LENGTH = 10_000;

    static File file(Path folder) {
        return folder.resolve(FILE_NAME).toFile();
    }

    /**
     * Reads the folder's fencing token.
     *
     * @return the token, or null if there is none
     * @throws IOException if there is a token that cannot be read
     */
    public static FencingToken read(Path folder) throws IOException {
        Path file = folder.resolve(FILE_NAME);
        if (!Files.exists(file)) {
            return null;
        }
        try {
            JsonObject json = JsonParser.parseString(Files.readString(file)).getAsJsonObject();
            return new FencingToken(
                    json.get("by").getAsString(),
                    Path.of(json.get("into").getAsString()),
                    json.get("lots").getAsString(),
                    json.get("done").getAsBoolean());
        } catch (RuntimeException e) {
            throw new IOException("the fence in " + folder + " cannot be read: " + e.getMessage());
        }
    }

    /**
     * Creates the token for a successor, or returns the token that was created earlier for the same one. An earlier
     * successor counts as the same after its own folder has been taken over completely into {@code successorFolder},
     * since its handoff batches are known there.
     *
     * @throws IOException if another successor was first
     */
    public static FencingToken create(Path folder, String successor, Path successorFolder) throws IOException {
        Path ownFolder = successorFolder.toAbsolutePath().normalize();
        FencingToken token =
                new FencingToken(successor, ownFolder, UUID.randomUUID().toString(), false);
        Path temporaryFile = folder.resolve(FILE_NAME + "." + token.handoffId());
        Files.writeString(temporaryFile, token.toJson());
        try {
            Files.createLink(folder.resolve(FILE_NAME), temporaryFile);
            return token;
        } catch (FileAlreadyExistsException e) {
            return existingToken(folder, ownFolder);
        } finally {
            Files.deleteIfExists(temporaryFile);
        }
    }

    /** Follows the chain of folders that were taken over, starting with the token of the first one. */
    private static FencingToken existingToken(Path folder, Path ownFolder) throws IOException {
        FencingToken first = read(folder);
        int chainLength = 0;
        for (FencingToken token = first;
                token != null && !token.successorFolder().equals(ownFolder); ) {
            token = read(token.successorFolder());
            // The bound ends a cycle of folders that took each other over.
            if (token == null || !token.completed() || ++chainLength > MAX_CHAIN_LENGTH) {
                throw new IOException("folder " + folder + " was taken over by " + first.successor() + " into "
                        + first.successorFolder());
            }
        }
        return first;
    }

    /** Records that nothing is left in the folder to take over. */
    public void markCompleted(Path folder) throws IOException {
        Path temporaryFile = folder.resolve(FILE_NAME + ".done");
        Files.write(
                temporaryFile,
                new FencingToken(successor, successorFolder, handoffId, true)
                        .toJson()
                        .getBytes(StandardCharsets.UTF_8));
        Files.move(temporaryFile, folder.resolve(FILE_NAME), StandardCopyOption.ATOMIC_MOVE);
    }

    private String toJson() {
        JsonObject json = new JsonObject();
        json.addProperty("by", successor);
        json.addProperty("into", successorFolder.toString());
        json.addProperty("lots", handoffId);
        json.addProperty("done", completed);
        return json.toString();
    }
}
