#include <dandeliondock/codec/compression.h>

#include <dandeliondock/core/error.h>

#include <zlib.h>

#include <algorithm>

namespace dandeliondock {

namespace {

constexpr std::size_t chunkBytes = 64U << 10U;
// deflateBound() leaves out the end of a flush, which is at most 5 bytes and 7 bits of the block before it.
constexpr std::size_t maxFlushBytes = 16;

class InflateStream
{
public:
    explicit InflateStream(absl::string_view bytes)
    {
        m_stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(bytes.data()));
        m_stream.avail_in = static_cast<uInt>(bytes.size());
        m_isReady = inflateInit(&m_stream) == Z_OK;
    }

    ~InflateStream() { inflateEnd(&m_stream); }

    InflateStream(const InflateStream &) = delete;
    InflateStream &operator=(const InflateStream &) = delete;

    [[nodiscard]] bool isReady() const { return m_isReady; }

    [[nodiscard]] bool isInputConsumed() const { return m_stream.avail_in == 0; }

    // Appends at most one chunk of output and returns the result of inflate().
    int inflateChunk(std::string &out)
    {
        const std::size_t oldSize = out.size();
        out.resize(oldSize + chunkBytes);
        m_stream.next_out = reinterpret_cast<Bytef *>(out.data() + oldSize);
        m_stream.avail_out = static_cast<uInt>(chunkBytes);
        const int result = inflate(&m_stream, Z_NO_FLUSH);
        out.resize(out.size() - m_stream.avail_out);
        return result;
    }

private:
    z_stream m_stream{};
    bool m_isReady = false;
};

} // namespace

std::string compressBytes(absl::string_view bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string out(size, '\0');
    compress2(reinterpret_cast<Bytef *>(out.data()), &size, reinterpret_cast<const Bytef *>(bytes.data()), bytes.size(),
              Z_DEFAULT_COMPRESSION);
    out.resize(size);
    return out;
}

CompressedPrefix compressPrefix(absl::string_view bytes)
{
    CompressedPrefix prefix;
    prefix.contentSize = ByteCount(bytes.size());
    prefix.checksum = static_cast<std::uint32_t>(
            adler32_z(adler32(0, nullptr, 0), reinterpret_cast<const Bytef *>(bytes.data()), bytes.size()));
    z_stream stream{};
    deflateInit(&stream, Z_DEFAULT_COMPRESSION);
    prefix.bytes.resize(deflateBound(&stream, bytes.size()) + maxFlushBytes);
    stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(bytes.data()));
    stream.avail_in = static_cast<uInt>(bytes.size());
    stream.next_out = reinterpret_cast<Bytef *>(prefix.bytes.data());
    stream.avail_out = static_cast<uInt>(prefix.bytes.size());
    deflate(&stream, Z_SYNC_FLUSH);
    prefix.bytes.resize(stream.total_out);
    deflateEnd(&stream);
    return prefix;
}

// RFC 1950, section 2.2, and RFC 1951, section 3.2.4: a stored block is a byte with the flag of the last block, the
// length and its complement in little-endian order, and the bytes; the stream ends with the checksum of the content in
// big-endian order.
std::string completeCompressed(const CompressedPrefix &prefix, absl::string_view tail)
{
    const auto length = static_cast<std::uint16_t>(tail.size());
    const auto complement = static_cast<std::uint16_t>(~length);
    const uLong tailChecksum = adler32_z(adler32(0, nullptr, 0), reinterpret_cast<const Bytef *>(tail.data()), length);
    const auto checksum =
            static_cast<std::uint32_t>(adler32_combine(prefix.checksum, tailChecksum, static_cast<z_off_t>(length)));
    std::string out;
    out.reserve(prefix.bytes.size() + length + maxFlushBytes);
    out = prefix.bytes;
    out.push_back(1);
    for (const std::uint16_t value : {length, complement}) {
        out.push_back(static_cast<char>(value & 0xffU));
        out.push_back(static_cast<char>(value >> 8U));
    }
    out.append(tail.data(), length);
    for (const unsigned shift : {24U, 16U, 8U, 0U})
        out.push_back(static_cast<char>((checksum >> shift) & 0xffU));
    return out;
}

absl::StatusOr<std::string> decompressBytes(absl::string_view bytes, ByteCount limit)
{
    InflateStream stream(bytes);
    std::string out;
    int result = stream.isReady() ? Z_OK : Z_MEM_ERROR;
    while (result == Z_OK && out.size() <= limit.value())
        result = stream.inflateChunk(out);
    if (out.size() > limit.value())
        return makeError(ErrorKind::InvalidMessage, "the compressed content is longer than the limit");
    if (result != Z_STREAM_END || !stream.isInputConsumed())
        return makeError(ErrorKind::InvalidMessage, "the compressed content is damaged");
    return out;
}

} // namespace dandeliondock
